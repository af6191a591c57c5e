//! Applies the pace of replicas that start or recover (`policy::replica_pace`): feeds it the outcomes
//! of requests, keeps requests away from a replica at its limit, and reports paces to peers.

use std::net::IpAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use policy::replica_pace::{self, PaceEvent, PaceReport};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::{Gateway, lock};
use crate::peer_message::PeerMessage;
use crate::replica::Replica;

/// A daemon's place among the daemons that share a pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPosition {
    /// Its rank by the hash of its id.
    pub rank: u32,
    /// The number of daemons.
    pub daemons: u32,
    /// The Unix time when the daemon's clock began.
    pub clock_start: Duration,
}

/// The pace of one process of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReplicaPaceReport {
    /// The hash of the replica's id (`rendezvous::hash_member`).
    pub member: u64,
    /// The replica's incarnation.
    pub incarnation: u64,
    /// Its pace when the message is sent.
    pub pace: PaceReport,
}

impl FleetTable {
    /// Turns pacing on, for a daemon at this position, or off. Replicas that are listed when it is
    /// turned on are not paced for that.
    pub fn set_pacing(&mut self, position: Option<FleetPosition>) {
        if position.is_none() && self.pacing.is_some() {
            self.replicas.values_mut().for_each(|it| it.pace = Default::default());
        }
        self.pacing = position;
    }

    /// Whether replicas that start or recover are paced.
    pub(crate) fn is_pacing(&self) -> bool {
        self.pacing.is_some()
    }

    /// Whether the pace of a replica lets this daemon send it another request.
    pub(crate) fn is_within_pace(&self, now: Duration, replica: &Replica) -> bool {
        let Some(position) = self.pacing else { return true };
        let Some(limit) = replica.pace.allowance(now) else { return true };
        let FleetPosition { rank, daemons, clock_start } = position;
        let time = clock_start + now;
        let share = replica_pace::share_of(limit, rank, daemons, replica.member, time);
        let known = self.load(now, replica).running;
        replica_pace::permits_request(limit, share, replica.local_load.running, known)
    }

    /// The paces of the replicas that are paced, for peers.
    pub fn pace_reports(&self, now: Duration) -> Vec<ReplicaPaceReport> {
        let paces = self.replicas.values().filter_map(|it| Some((it, it.pace.report(now)?)));
        let reports = paces.map(|(replica, it)| ReplicaPaceReport {
            member: replica.member,
            incarnation: replica.entry.incarnation,
            pace: it,
        });
        reports.collect()
    }

    /// Merges paces that a peer knew at `reported_at`; returns those that are new, as of `now`.
    pub fn merge_paces(
        &mut self,
        now: Duration,
        reported_at: Duration,
        reports: &[ReplicaPaceReport],
    ) -> Vec<ReplicaPaceReport> {
        if !self.is_pacing() {
            return Vec::new();
        }
        let mut news = Vec::new();
        let on_the_way = now.saturating_sub(reported_at);
        for it in reports {
            let replica = self.replicas.get_mut(&it.member);
            let same = replica.filter(|replica| replica.entry.incarnation == it.incarnation);
            let Some(replica) = same else { continue };
            let report = PaceReport {
                closed_for: it.pace.closed_for.saturating_sub(on_the_way),
                lowered_age: it.pace.lowered_age.saturating_add(on_the_way),
                ..it.pace
            };
            let before = replica.pace;
            replica.pace.observe(now, PaceEvent::Reported(report));
            if replica.pace != before {
                news.push(ReplicaPaceReport { pace: report, ..*it });
            }
        }
        news
    }
}

/// Updates this daemon's position, and sends its paces to the peers that it reports to.
pub(crate) fn send_reports<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let now = gateway.now();
    let position = gateway.settings().bounds.paces_recovery.then(|| find_position(gateway, now));
    let reports = {
        let mut fleet = lock(&gateway.fleet);
        fleet.set_pacing(position);
        fleet.pace_reports(now)
    };
    if !reports.is_empty() {
        gateway.peer_socket.send(now, to, &PeerMessage::Paces(reports));
    }
}

/// Merges paces that a peer knew at `reported_at`, and passes on what is new, so that a pace does not
/// wait for a round of reports at each hub on its way.
pub(crate) fn merge<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    reported_at: Duration,
    reports: &[ReplicaPaceReport],
) {
    let now = gateway.now();
    let news = lock(&gateway.fleet).merge_paces(now, reported_at, reports);
    if !news.is_empty() {
        let to = lock(&gateway.members).gossip_peers(now).forward_targets(Some(from));
        gateway.peer_socket.send(now, &to, &PeerMessage::Paces(news));
    }
}

fn find_position<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    now: Duration,
) -> FleetPosition {
    let members = lock(&gateway.members);
    let own = policy::rendezvous::hash_member(gateway.own.id.as_str());
    let rank = members.reachable(now).filter(|it| it.0 < own).count() as u32;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    FleetPosition {
        rank,
        daemons: members.fleet_size().max(rank as usize + 1) as u32,
        clock_start: unix.saturating_sub(now),
    }
}
