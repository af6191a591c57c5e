//! What a daemon knows of another one.

use std::time::Duration;

use crate::directory::MemberEntry;
use crate::peer_message::StateDigests;

/// A daemon not seen for this long counts as unreachable, where all daemons are hubs.
pub(crate) const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A newly named daemon may be a hub for this long before it is first seen.
const NEW_MEMBER_GRACE: Duration = Duration::from_millis(1_500);

/// What this daemon knows of another one.
#[derive(Debug)]
pub(crate) struct KnownDaemon {
    pub(crate) entry: MemberEntry,
    /// The hash of its id.
    pub(crate) member: u64,
    /// When it was last seen running, by its own report or through others.
    pub(crate) alive_at: Option<Duration>,
    /// When it last sent a report to this daemon directly.
    pub(crate) last_message_at: Option<Duration>,
    /// When it last reported to this daemon as its hub; `None` if its latest report was of another
    /// kind.
    pub(crate) child_message_at: Option<Duration>,
    /// When the store or a peer first named it.
    pub(crate) added_at: Duration,
    /// When it last left a query of this daemon unanswered.
    pub(crate) unresponsive_at: Option<Duration>,
    /// Number of daemons that it knows, as it reported.
    pub(crate) known_daemons: usize,
    /// Digests of its state, as it reported last.
    pub(crate) digests: Option<StateDigests>,
    /// The digest of the daemons that this one named to it last, as it reported.
    pub(crate) reported_reachable: Option<u64>,
    pub(crate) leaving: bool,
}

impl KnownDaemon {
    /// A daemon that was named at `added_at` and not seen yet.
    pub(crate) fn new(entry: &MemberEntry, member: u64, added_at: Duration) -> KnownDaemon {
        KnownDaemon {
            entry: entry.clone(),
            member,
            alive_at: None,
            last_message_at: None,
            child_message_at: None,
            added_at,
            unresponsive_at: None,
            known_daemons: 0,
            digests: None,
            reported_reachable: None,
            leaving: false,
        }
    }

    pub(crate) fn is_reachable(&self, now: Duration, reachable_timeout: Duration) -> bool {
        let unresponsive_at = self.unresponsive_at;
        let alive_at = self.alive_at.filter(|at| unresponsive_at.is_none_or(|it| it < *at));
        alive_at.is_some_and(|it| now < it + reachable_timeout)
    }

    pub(crate) fn is_new(&self, now: Duration) -> bool {
        self.alive_at.is_none()
            && self.unresponsive_at.is_none()
            && now < self.added_at + NEW_MEMBER_GRACE
    }

    pub(crate) fn is_child(&self, now: Duration) -> bool {
        self.child_message_at.is_some_and(|it| now < it + REACHABLE_TIMEOUT)
    }
}
