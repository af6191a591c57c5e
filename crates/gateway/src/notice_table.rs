//! What replicas said of themselves before or while they are not listed: an older entry of the same
//! incarnation may come back.

use std::time::Duration;

use http::StatusCode;
use indexmap::IndexMap;
use policy::admission::ReplicaState;
use policy::hold_off::HoldOff;

use crate::dialect::AnswerHead;

/// Upper limit of replicas on record. At the limit the one recorded first is dropped.
const MAX_RECORDS: usize = 10_000;

/// What a replica says of itself in one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// It will stop and takes no more requests.
    pub leaving: bool,
    /// How long it wants no requests from this daemon.
    pub hold_off: Option<Duration>,
}

impl AnswerNotice {
    /// The notice in an answer with this status and head.
    pub(crate) fn new(status: StatusCode, head: &AnswerHead) -> AnswerNotice {
        let is_turned_away = status == StatusCode::SERVICE_UNAVAILABLE;
        AnswerNotice {
            leaving: head.leaving,
            hold_off: head.retry_after.filter(|_| is_turned_away),
        }
    }

    /// What it says when it is read at `now`.
    pub(crate) fn as_of(self, now: Duration) -> ReplicaNotices {
        let mut hold_off = HoldOff::default();
        if let Some(time) = self.hold_off {
            hold_off.extend(now, time);
        }
        ReplicaNotices { leaving: self.leaving, hold_off }
    }
}

/// All that a replica said of itself in one incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReplicaNotices {
    /// It will stop and takes no more requests.
    pub(crate) leaving: bool,
    /// How long it wants no requests from this daemon.
    pub(crate) hold_off: HoldOff,
}

/// Notices by the hash of the replica's id and its incarnation.
#[derive(Debug, Default)]
pub(crate) struct NoticeTable {
    records: IndexMap<(u64, u64), ReplicaNotices>,
}

impl NoticeTable {
    /// Adds to what a replica said before, in one incarnation.
    pub(crate) fn record(&mut self, member: u64, incarnation: u64, notices: ReplicaNotices) {
        if notices == ReplicaNotices::default() {
            return;
        }
        let key = (member, incarnation);
        if !self.records.contains_key(&key) && self.records.len() >= MAX_RECORDS {
            self.records.shift_remove_index(0);
        }
        self.records.entry(key).or_default().merge(notices);
    }

    /// What a replica said in this incarnation.
    pub(crate) fn get(&self, member: u64, incarnation: u64) -> ReplicaNotices {
        self.records.get(&(member, incarnation)).copied().unwrap_or_default()
    }
}

impl ReplicaNotices {
    /// The state of a replica of which nothing else is known.
    pub(crate) fn state(self) -> ReplicaState {
        let ReplicaNotices { leaving, hold_off } = self;
        ReplicaState { leaving, hold_off, ..ReplicaState::default() }
    }

    /// Adds later notices: none takes an earlier one back.
    fn merge(&mut self, later: ReplicaNotices) {
        self.leaving |= later.leaving;
        self.hold_off = self.hold_off.longer(later.hold_off);
    }
}
