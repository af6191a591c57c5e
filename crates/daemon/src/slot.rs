//! The slot that a placed request occupies on a replica.

use std::sync::Arc;

use ports::Clock;

use crate::place::PlacedTarget;
use crate::pool::PoolScheduler;

/// A request's slot on a replica, released when dropped; waiting requests may then use it.
#[derive(Debug)]
pub(crate) struct Placement<C: Clock> {
    pub(crate) target: PlacedTarget,
    scheduler: Arc<PoolScheduler<C>>,
    isolated: bool,
}

impl<C: Clock> Placement<C> {
    /// Wraps a slot that is already counted in the load of a replica of `scheduler`.
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
