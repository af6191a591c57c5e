//! Recent tickets of token takes, kept for refunds and to detect repeated messages.

use ids::CustomerId;
use indexmap::IndexMap;

/// Tickets in one generation. When the current generation is full, it replaces the previous one.
const GENERATION_TICKETS: usize = 50_000;

/// Recent tickets in two generations, so that old ones are dropped without a scan.
#[derive(Debug, Default)]
pub(crate) struct TicketHistory {
    current: IndexMap<u64, (CustomerId, u64)>,
    previous: IndexMap<u64, (CustomerId, u64)>,
}

impl TicketHistory {
    pub(crate) fn contains(&self, ticket: u64) -> bool {
        self.current.contains_key(&ticket) || self.previous.contains_key(&ticket)
    }

    pub(crate) fn insert(&mut self, ticket: u64, customer: CustomerId, tokens: u64) {
        if self.current.len() == GENERATION_TICKETS {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(ticket, (customer, tokens));
    }

    /// The ticket's customer and the tokens that may still be refunded.
    pub(crate) fn get_mut(&mut self, ticket: u64) -> Option<(&CustomerId, &mut u64)> {
        let found = match self.current.get_mut(&ticket) {
            Some(it) => Some(it),
            None => self.previous.get_mut(&ticket),
        };
        found.map(|(customer, tokens)| (&*customer, tokens))
    }
}
