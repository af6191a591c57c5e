//! How often long state is sent to a daemon that lags behind.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;

/// The time after which state is sent again to a daemon that still lacks it: it takes some time to
/// arrive, and may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// State that is sent whole to a daemon that lags behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WholeState {
    /// The configuration, versions of weights and rollouts.
    Control,
    /// The list of replicas.
    Listing,
}

/// When lagging daemons were last sent each state.
#[derive(Debug, Default)]
pub struct ResendLimit {
    sent: IndexMap<(IpAddr, WholeState), Duration>,
}

impl ResendLimit {
    /// Whether the state is to be sent now to the daemon at this address, rather than still on its
    /// way there. If so, it counts as sent.
    pub fn begin(&mut self, now: Duration, to: IpAddr, state: WholeState) -> bool {
        self.sent.retain(|_, at| now < *at + RESEND_INTERVAL);
        if self.sent.contains_key(&(to, state)) {
            return false;
        }
        self.sent.insert((to, state), now);
        true
    }

    /// Records that the daemon at this address was sent a change of the state. Its reports may
    /// still name the state before, and what it lacks is on its way.
    pub fn record_change(&mut self, now: Duration, to: IpAddr, state: WholeState) {
        self.sent.insert((to, state), now);
    }
}
