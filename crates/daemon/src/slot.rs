//! A slot on a replica.

use std::sync::Arc;

use ports::Clock;

use crate::placement_query::PlacedTarget;
use crate::pool::PoolDesk;

/// A slot on a replica, freed when dropped.
#[derive(Debug)]
pub(crate) struct Placement<C: Clock> {
    pub(crate) target: PlacedTarget,
    desk: Arc<PoolDesk<C>>,
    isolated: bool,
}

impl<C: Clock> Placement<C> {
    /// A slot that was taken on a replica of `desk`.
    pub(crate) fn new(
        target: PlacedTarget,
        desk: Arc<PoolDesk<C>>,
        isolated: bool,
    ) -> Placement<C> {
        Placement { target, desk, isolated }
    }
}

impl<C: Clock> Drop for Placement<C> {
    fn drop(&mut self) {
        self.desk.release(&self.target.id, self.isolated);
        self.desk.pump();
    }
}
