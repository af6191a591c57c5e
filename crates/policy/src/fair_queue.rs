//! The queue of requests that wait for capacity in a pool: deficit round robin over customers by
//! weight. Counter (interactive) traffic goes before deferrable traffic, which still gets one turn
//! in eight while both wait.

use std::collections::VecDeque;

use indexmap::IndexMap;

/// Cost that one round adds to the deficit of a customer of weight 1.
const QUANTUM_COST: f64 = 1_000.0;
/// While both classes wait, every turn of this number goes to deferrable traffic.
const TURNS_PER_DEFERRABLE: u32 = 8;

/// The waiting entries of one traffic class, by customer.
#[derive(Debug)]
struct ClassQueue<Id, Item> {
    customers: IndexMap<Id, CustomerQueue<Item>>,
    /// Index of the customer whose turn it is.
    next: usize,
    length: usize,
}

/// The waiting entries of one customer, each with its cost.
#[derive(Debug)]
struct CustomerQueue<Item> {
    weight: f64,
    deficit: f64,
    items: VecDeque<(f64, Item)>,
}

/// A weighted fair queue with two traffic classes; `Id` identifies a customer, `Item` is an entry.
#[derive(Debug)]
pub struct FairQueue<Id, Item> {
    counter: ClassQueue<Id, Item>,
    deferrable: ClassQueue<Id, Item>,
    turn: u32,
}

impl<Id: std::hash::Hash + Eq + Clone, Item> Default for FairQueue<Id, Item> {
    fn default() -> FairQueue<Id, Item> {
        FairQueue { counter: ClassQueue::new(), deferrable: ClassQueue::new(), turn: 0 }
    }
}

impl<Id: std::hash::Hash + Eq + Clone, Item> FairQueue<Id, Item> {
    /// The number of waiting entries in both classes.
    pub fn len(&self) -> usize {
        self.counter.length + self.deferrable.length
    }

    /// Whether no entry waits in either class.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends an entry to its customer's queue. `weight` replaces the customer's earlier weight; 0
    /// counts as 1. `cost` is in the unit in which customers share, such as tokens.
    pub fn push(&mut self, id: Id, weight: u32, deferrable: bool, cost: f64, item: Item) {
        let queue = if deferrable { &mut self.deferrable } else { &mut self.counter };
        queue.push(id, f64::from(weight.max(1)), cost, item);
    }

    /// Removes and returns the next entry with its customer, or `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<(Id, Item)> {
        self.turn = (self.turn + 1) % TURNS_PER_DEFERRABLE;
        if self.turn == 0 {
            return self.deferrable.pop().or_else(|| self.counter.pop());
        }
        self.counter.pop().or_else(|| self.deferrable.pop())
    }
}

impl<Id: std::hash::Hash + Eq + Clone, Item> ClassQueue<Id, Item> {
    fn new() -> ClassQueue<Id, Item> {
        ClassQueue { customers: IndexMap::new(), next: 0, length: 0 }
    }

    fn push(&mut self, id: Id, weight: f64, cost: f64, item: Item) {
        let queue = self.customers.entry(id).or_insert_with(|| CustomerQueue {
            weight,
            deficit: 0.0,
            items: VecDeque::new(),
        });
        queue.weight = weight;
        queue.items.push_back((cost, item));
        self.length += 1;
    }

    fn pop(&mut self) -> Option<(Id, Item)> {
        if self.length == 0 {
            return None;
        }
        loop {
            let index = self.next % self.customers.len();
            let (id, queue) = self.customers.get_index_mut(index)?;
            let cost = queue.items.front().map_or(0.0, |it| it.0);
            if !queue.items.is_empty() && queue.deficit >= cost {
                queue.deficit -= cost;
                let item = queue.items.pop_front()?.1;
                let id = id.clone();
                self.length -= 1;
                if self.customers[index].items.is_empty() {
                    self.customers.swap_remove_index(index);
                }
                return Some((id, item));
            }
            queue.deficit += QUANTUM_COST * queue.weight;
            self.next = (index + 1) % self.customers.len();
        }
    }
}
