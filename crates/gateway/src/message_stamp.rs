//! The stamp behind each message between daemons, from which its receiver works out how long the
//! message may have been on the way (`policy::peer_clock`).

use std::net::IpAddr;
use std::time::Duration;

use ids::Incarnation;
use indexmap::IndexMap;
use policy::peer_clock::{ClockLead, PeerClock};
use serde::{Deserialize, Serialize};

/// Longest encoding of a stamp in bytes.
pub const MAX_STAMP_BYTES: usize = 64;
/// A peer that sent nothing for this long is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// Sent behind a message, where daemons that do not know it ignore it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageStamp {
    /// The incarnation of the sender, whose clock `sent_at` is of.
    pub incarnation: Incarnation,
    /// A time on the sender's clock at which the ages in the message were right.
    pub sent_at: Duration,
    /// What the sender knows of the receiver's clock.
    pub echo: Option<ClockEcho>,
}

/// How far the sender's clock is ahead of the receiver's stamps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockEcho {
    /// The incarnation of the receiver that sent the stamps.
    pub incarnation: Incarnation,
    /// The least of the leads.
    pub lead: ClockLead,
}

impl MessageStamp {
    /// The bytes to append to a datagram.
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }
}

/// The clocks of the peers that sent stamps, by address.
#[derive(Debug)]
pub struct StampTable {
    incarnation: Incarnation,
    peers: IndexMap<IpAddr, StampedPeer>,
}

#[derive(Debug)]
struct StampedPeer {
    incarnation: Incarnation,
    clock: PeerClock,
    last_arrival_at: Duration,
}

impl StampTable {
    /// An empty table of the daemon with this incarnation.
    pub fn new(incarnation: Incarnation) -> StampTable {
        StampTable { incarnation, peers: IndexMap::new() }
    }

    /// This daemon's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The stamp of a message to `peer` whose ages are as of `sent_at`.
    pub fn stamp(&self, peer: IpAddr, sent_at: Duration) -> MessageStamp {
        let echo = self.peers.get(&peer).and_then(|it| {
            Some(ClockEcho { incarnation: it.incarnation, lead: it.clock.least_lead()? })
        });
        MessageStamp { incarnation: self.incarnation, sent_at, echo }
    }

    /// Records a stamp that arrived. Returns the earliest time at which the message may have been
    /// sent, on this daemon's clock; `None` if that is not known yet.
    pub fn record(
        &mut self,
        now: Duration,
        peer: IpAddr,
        stamp: &MessageStamp,
    ) -> Option<Duration> {
        if !self.peers.contains_key(&peer) {
            self.peers.retain(|_, it| now < it.last_arrival_at + FORGET_TIME);
        }
        let fresh = || StampedPeer {
            incarnation: stamp.incarnation,
            clock: PeerClock::default(),
            last_arrival_at: now,
        };
        let known = self.peers.entry(peer).or_insert_with(fresh);
        if known.incarnation != stamp.incarnation {
            *known = fresh();
        }
        known.last_arrival_at = now;
        known.clock.record_arrival(now, stamp.sent_at);
        if let Some(echo) = stamp.echo.filter(|it| it.incarnation == self.incarnation) {
            known.clock.record_report(echo.lead);
        }
        let transit_time = known.clock.max_transit_time(now, stamp.sent_at)?;
        Some(now.saturating_sub(transit_time))
    }
}
