//! The queue before a pool's capacity: deficit round robin by customer weight, counter traffic
//! before deferrable traffic, which still gets one in eight turns.

use std::collections::VecDeque;

use indexmap::IndexMap;

/// Cost a customer of weight 1 may take in one round.
const QUANTUM: f64 = 1_000.0;
/// One in this many turns goes to deferrable traffic while both wait.
const DEFERRABLE_TURN: u32 = 8;

#[derive(Debug)]
struct Lane<Id, Item> {
    customers: IndexMap<Id, CustomerQueue<Item>>,
    next: usize,
    length: usize,
}

#[derive(Debug)]
struct CustomerQueue<Item> {
    weight: f64,
    deficit: f64,
    items: VecDeque<(f64, Item)>,
}

/// A fair queue over customers `Id` with entries `Item`.
#[derive(Debug)]
pub struct FairQueue<Id, Item> {
    counter: Lane<Id, Item>,
    deferrable: Lane<Id, Item>,
    turn: u32,
}

impl<Id: std::hash::Hash + Eq + Clone, Item> Default for FairQueue<Id, Item> {
    fn default() -> FairQueue<Id, Item> {
        FairQueue { counter: Lane::new(), deferrable: Lane::new(), turn: 0 }
    }
}

impl<Id: std::hash::Hash + Eq + Clone, Item> FairQueue<Id, Item> {
    /// Entries waiting.
    pub fn len(&self) -> usize {
        self.counter.length + self.deferrable.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an entry of this cost.
    pub fn push(&mut self, id: Id, weight: u32, deferrable: bool, cost: f64, item: Item) {
        let lane = if deferrable { &mut self.deferrable } else { &mut self.counter };
        lane.push(id, f64::from(weight.max(1)), cost, item);
    }

    /// Takes the next entry.
    pub fn pop(&mut self) -> Option<(Id, Item)> {
        self.turn = (self.turn + 1) % DEFERRABLE_TURN;
        if self.turn == 0 {
            return self.deferrable.pop().or_else(|| self.counter.pop());
        }
        self.counter.pop().or_else(|| self.deferrable.pop())
    }
}

impl<Id: std::hash::Hash + Eq + Clone, Item> Lane<Id, Item> {
    fn new() -> Lane<Id, Item> {
        Lane { customers: IndexMap::new(), next: 0, length: 0 }
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
            queue.deficit += QUANTUM * queue.weight;
            self.next = (index + 1) % self.customers.len();
        }
    }
}
