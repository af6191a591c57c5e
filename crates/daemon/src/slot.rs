//! A slot on a replica.

use std::sync::Arc;

use ports::Clock;

use crate::place::Placed;
use crate::pool::PoolDesk;

/// A slot on a replica, freed when dropped.
#[derive(Debug)]
pub(crate) struct PlacedSlot<C: Clock> {
    pub(crate) placed: Placed,
    desk: Arc<PoolDesk<C>>,
    apart: bool,
}

impl<C: Clock> PlacedSlot<C> {
    /// A slot that was taken on a replica of `desk`.
    pub(crate) fn new(placed: Placed, desk: Arc<PoolDesk<C>>, apart: bool) -> PlacedSlot<C> {
        PlacedSlot { placed, desk, apart }
    }
}

impl<C: Clock> Drop for PlacedSlot<C> {
    fn drop(&mut self) {
        self.desk.release(&self.placed.target, self.apart);
        self.desk.pump();
    }
}
