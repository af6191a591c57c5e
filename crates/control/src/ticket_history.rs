//! Tickets of takings, remembered long enough for refunds and repeated messages.

use ids::CustomerId;
use indexmap::IndexMap;

/// Tickets of one generation; the older of two is forgotten when the younger is full.
const GENERATION: usize = 50_000;

/// Tickets in two generations, so that forgetting costs nothing.
#[derive(Debug, Default)]
pub(crate) struct TicketHistory {
    young: IndexMap<u64, (CustomerId, u64)>,
    old: IndexMap<u64, (CustomerId, u64)>,
}

impl TicketHistory {
    pub(crate) fn contains(&self, ticket: u64) -> bool {
        self.young.contains_key(&ticket) || self.old.contains_key(&ticket)
    }

    pub(crate) fn insert(&mut self, ticket: u64, customer: CustomerId, tokens: u64) {
        if self.young.len() == GENERATION {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(ticket, (customer, tokens));
    }

    /// Whose the ticket is and what can still be given back of it.
    pub(crate) fn get_mut(&mut self, ticket: u64) -> Option<(&CustomerId, &mut u64)> {
        let found = match self.young.get_mut(&ticket) {
            Some(it) => Some(it),
            None => self.old.get_mut(&ticket),
        };
        found.map(|(customer, tokens)| (&*customer, tokens))
    }
}
