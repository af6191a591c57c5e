//! What replicas said of themselves, kept while they are not listed: an older entry of the same
//! incarnation may come back.

use std::time::Duration;

use http::StatusCode;
use indexmap::IndexMap;
use policy::hold_off::HoldOff;

use crate::dialect::AnswerHead;
use crate::replica::Replica;

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
}

/// Notices by the hash of the replica's id and its incarnation.
#[derive(Debug, Default)]
pub(crate) struct NoticeTable {
    records: IndexMap<(u64, u64), (bool, HoldOff)>,
}

impl NoticeTable {
    /// Remembers what a listed replica said.
    pub(crate) fn remember(&mut self, replica: &Replica) {
        if !replica.leaving && replica.hold_off == HoldOff::default() {
            return;
        }
        let key = (replica.member, replica.entry.incarnation);
        if !self.records.contains_key(&key) && self.records.len() >= MAX_RECORDS {
            self.records.shift_remove_index(0);
        }
        self.records.insert(key, (replica.leaving, replica.hold_off));
    }

    /// Restores what a replica said before it was unlisted.
    pub(crate) fn restore(&self, replica: &mut Replica) {
        if let Some((leaving, hold_off)) =
            self.records.get(&(replica.member, replica.entry.incarnation))
        {
            replica.leaving |= leaving;
            replica.hold_off = *hold_off;
        }
    }
}
