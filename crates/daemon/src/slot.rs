//! A slot on a replica.

use std::sync::Arc;

use ports::Clock;

use crate::place::Placed;
use crate::pool::PoolScheduler;

/// A slot on a replica, freed when dropped.
#[derive(Debug)]
pub(crate) struct PlacedSlot<C: Clock> {
    pub(crate) placed: Placed,
    scheduler: Arc<PoolScheduler<C>>,
    isolated: bool,
}

impl<C: Clock> PlacedSlot<C> {
    /// A slot that was taken on a replica of `scheduler`.
    pub(crate) fn new(
        placed: Placed,
        scheduler: Arc<PoolScheduler<C>>,
        isolated: bool,
    ) -> PlacedSlot<C> {
        PlacedSlot { placed, scheduler, isolated }
    }
}

impl<C: Clock> Drop for Placement<C> {
    fn drop(&mut self) {
        self.scheduler.release_slot(&self.placed.target, self.isolated);
        self.scheduler.dispatch_waiting();
    }
}
