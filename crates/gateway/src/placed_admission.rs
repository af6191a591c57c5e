//! Whether a request that was placed on a replica may still be sent to it.

use std::time::Duration;

use policy::admission::{ReplicaUse, WithholdReason};
use policy::cold_pace;

use crate::fleet::FleetTable;
use crate::placement::PlacedTarget;

impl FleetTable {
    /// Whether a placed request may still be sent: fails if the replica, in the incarnation that
    /// was chosen, said meanwhile that it takes no more, if its failure domain was evacuated, or if it
    /// is cold and the request has no token.
    pub fn admit_placed(&self, now: Duration, placed: &PlacedTarget) -> Result<(), WithholdReason> {
        self.admit_probe(now, placed)?;
        let replica = self.replicas.get(&placed.member);
        let is_cold = replica.is_some_and(|it| it.cold_state(now).is_some());
        match is_cold && !cold_pace::is_token_valid(now, placed.token_at) {
            true => Err(WithholdReason::Cold),
            false => Ok(()),
        }
    }

    /// The same for a probe of the replica, which needs no token.
    pub(crate) fn admit_probe(
        &self,
        now: Duration,
        placed: &PlacedTarget,
    ) -> Result<(), WithholdReason> {
        let replica = self.replicas.get(&placed.member);
        let replica = replica.filter(|it| it.entry.incarnation == placed.incarnation);
        let mut state = match replica {
            Some(it) => it.state(now, None),
            None => self.notices.get(placed.member, placed.incarnation).state(),
        };
        state.evacuated = self.is_evacuated(&placed.domain);
        // The placed request itself is counted.
        state.running = state.running.saturating_sub(placed.load.running);
        let reason = state.withhold_reason(now, ReplicaUse::Request);
        reason.filter(|it| it.is_stated()).map_or(Ok(()), Err)
    }
}
