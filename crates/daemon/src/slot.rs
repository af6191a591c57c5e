//! A slot on a replica.

use std::sync::Arc;

use ports::Clock;

use crate::placement_query::PlacedTarget;
use crate::pool::PoolScheduler;

/// A slot on a replica, freed when dropped.
#[derive(Debug)]
pub(crate) struct Placement<C: Clock> {
    pub(crate) target: PlacedTarget,
    scheduler: Arc<PoolScheduler<C>>,
    isolated: bool,
}

impl<C: Clock> Placement<C> {
    /// A slot that was taken on a replica of `scheduler`.
    pub(crate) fn new(
        target: PlacedTarget,
        scheduler: Arc<PoolScheduler<C>>,
        isolated: bool,
    ) -> Placement<C> {
        Placement { target, scheduler, isolated }
    }
}

impl<C: Clock> Drop for Placement<C> {
    fn drop(&mut self) {
        self.scheduler.release_slot(&self.target.id, self.isolated);
        self.scheduler.dispatch_waiting();
    }
}
