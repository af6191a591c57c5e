//! The daemons that this one knows, when each was last seen running, and which daemons report to
//! which.
//!
//! A daemon is seen by its own reports, or by those of others that have seen it.

use std::net::IpAddr;
use std::time::Duration;

use ids::{CustomerId, InstanceId};
use indexmap::IndexMap;
use policy::hub_views::HubViews;
use policy::peer_tree::{self, TreeMember};
use policy::rendezvous;
use xxhash_rust::xxh3;

use crate::directory::MemberEntry;
use crate::gossip_peers::GossipPeers;
use crate::known_daemon::{KnownDaemon, REACHABLE_TIMEOUT};
use crate::peer_message::{GossipExtension, StateDigests};

/// A daemon not seen for this long counts as unreachable, where hubs pass on the status of others:
/// some of their reports get lost.
const REACHABLE_TIMEOUT_VIA_HUBS: Duration = Duration::from_millis(2_500);
/// The time between two reports of a daemon to its gossip peers.
pub(crate) const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
/// Reports that carry a daemon's status to one with another parent: to the hub, to the other hub,
/// and to its child.
const REPORTS_VIA_HUBS: u32 = 3;
/// A daemon not seen for this long is forgotten by one that reaches most daemons.
const FORGET_TIMEOUT: Duration = Duration::from_secs(15);
/// The same for a daemon that does not reach most: it may be partitioned itself, while the others
/// still spend their shares of common budgets.
const FORGET_TIMEOUT_PARTITIONED: Duration = Duration::from_secs(600);
/// A daemon switches to another hub if its own sends nothing for this long.
const PARENT_TIMEOUT: Duration = Duration::from_millis(750);
/// How long it then avoids that hub.
const PARENT_AVOID_TIME: Duration = Duration::from_secs(3);

/// The number of unreachable daemons that a hub sends its reports to in each round.
const LOST_HUBS_PER_ROUND: usize = 3;

/// The hub that this daemon reports to, and since when.
#[derive(Debug, Clone, Copy)]
struct ParentHub {
    /// The hash of its id.
    member: u64,
    since: Duration,
}

/// The daemons that a hub reaches, as it named them last.
#[derive(Debug, Default)]
struct NamedDaemons {
    /// The hash of the hub's id.
    hub: u64,
    digest: u64,
    /// The hashes of the daemons' ids, and whether each is leaving.
    daemons: Vec<(u64, bool)>,
}

/// The other daemons by the hash of their id, and the place of this one among them.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberEntry,
    /// The hash of this daemon's id.
    own_member: u64,
    seeds: Vec<IpAddr>,
    known: IndexMap<u64, KnownDaemon>,
    parent: Option<ParentHub>,
    /// The daemons that a hub named last.
    named: NamedDaemons,
    /// Where to go on among the unreachable daemons that would be hubs.
    next_lost_hub: usize,
    /// Hubs that sent nothing, by the hash of their id, and until when each is avoided.
    avoided_parents: IndexMap<u64, Duration>,
    hub_views: HubViews,
}

impl MemberTable {
    /// A table that knows only its own daemon and the addresses of seeds.
    pub fn new(own: MemberEntry, seeds: Vec<IpAddr>) -> MemberTable {
        MemberTable {
            own_member: rendezvous::hash_member(own.id.as_str()),
            own,
            seeds,
            known: IndexMap::new(),
            parent: None,
            named: NamedDaemons::default(),
            next_lost_hub: 0,
            avoided_parents: IndexMap::new(),
            hub_views: HubViews::default(),
        }
    }

    /// Replaces the addresses that are asked for other daemons.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.seeds = seeds;
    }

    /// Adds a daemon named by the store or a peer, or replaces its entry by that of a newer
    /// incarnation.
    pub fn add(&mut self, now: Duration, entry: &MemberEntry) {
        if entry.id == self.own.id {
            return;
        }
        let member = rendezvous::hash_member(entry.id.as_str());
        match self.known.get_mut(&member) {
            Some(it) if it.entry.incarnation >= entry.incarnation => {}
            Some(it) => it.entry = entry.clone(),
            None => {
                self.known.insert(member, KnownDaemon::new(entry, member, now));
            }
        }
    }

    /// Records a report received from a daemon that knows `known_daemons` daemons. `to_hub`: it was
    /// sent to this daemon as the sender's hub.
    pub fn record_message(
        &mut self,
        now: Duration,
        entry: &MemberEntry,
        known_daemons: usize,
        to_hub: bool,
    ) {
        self.add(now, entry);
        let member = rendezvous::hash_member(entry.id.as_str());
        let Some(it) = self.known.get_mut(&member) else { return };
        it.known_daemons = known_daemons;
        it.last_message_at = Some(now);
        it.child_message_at = if to_hub { Some(now) } else { None };
    }

    /// Records what a daemon reported that it has; `None` if it reported nothing of it.
    pub fn record_extension(&mut self, id: &InstanceId, extension: Option<GossipExtension>) {
        if let Some(it) = self.known.get_mut(&rendezvous::hash_member(id.as_str())) {
            it.digests = extension.map(|it| it.digests);
            it.reported_reachable = extension.map(|it| it.reachable);
        }
    }

    /// Which parts of this daemon's state all daemons at these addresses have too, as far as they
    /// reported: weights, and known daemons.
    pub fn known_to(&self, to: &[IpAddr], own: StateDigests) -> (bool, bool) {
        let at = |address| self.known.values().find(move |it| it.entry.address == address);
        let digests = to.iter().map(|it| at(*it).and_then(|it| it.digests));
        digests.fold((true, true), |(weights, members), it| {
            let equal =
                |part: fn(&StateDigests) -> u64| it.is_some_and(|it| part(&it) == part(&own));
            (weights && equal(|it| it.weights), members && equal(|it| it.members))
        })
    }

    /// A digest of the daemons that were ever seen.
    pub fn digest(&self) -> u64 {
        let known = self.known.values().filter(|it| it.alive_at.is_some());
        let own = (self.own_member, self.own.incarnation.0);
        let all = known.map(|it| (it.member, it.entry.incarnation.0)).chain([own]);
        all.fold(0, |digest, (member, incarnation)| {
            digest ^ xxh3::xxh3_64_with_seed(&incarnation.to_le_bytes(), member)
        })
    }

    /// Records that a daemon ran at `alive_at`, unless it was seen later.
    pub fn record_alive(&mut self, member: u64, alive_at: Duration, leaving: bool) {
        let known = self.known.get_mut(&member);
        if let Some(it) = known.filter(|it| it.alive_at.is_none_or(|at| at <= alive_at)) {
            it.alive_at = Some(alive_at);
            it.leaving = leaving;
        }
    }

    /// Records what another hub takes for the hubs of the fleet.
    pub fn record_hubs(&mut self, hub: u64, hubs: Box<[u64]>) {
        if self.known.contains_key(&hub) {
            self.hub_views.record_hubs(hub, hubs);
        }
    }

    /// Records which other hub's report covered a daemon; `None` if it reported to this one.
    pub fn record_covered(&mut self, member: u64, hub: Option<u64>) {
        if self.known.contains_key(&member) {
            self.hub_views.record_covered(member, hub);
        }
    }

    /// A digest of the reachable daemons, this one left out.
    pub fn reachable_digest(&self, now: Duration) -> u64 {
        self.reachable(now).fold(0, |digest, (member, _, leaving)| {
            digest ^ xxh3::xxh3_64_with_seed(&[u8::from(leaving)], member)
        })
    }

    /// Whether a daemon, given as the hash of its id, has the list of reachable daemons with this
    /// digest.
    pub fn has_reachable(&self, member: u64, digest: u64) -> bool {
        self.known.get(&member).is_some_and(|it| it.reported_reachable == Some(digest))
    }

    /// The digest of the daemons that this daemon's hub named last; 0 if it named none.
    pub fn named_digest(&self) -> u64 {
        let parent = self.parent.map(|it| it.member);
        if parent == Some(self.named.hub) { self.named.digest } else { 0 }
    }

    /// Records the digest of the daemons that a hub reaches, and the list if it sent one: hashes of
    /// ids with ages and whether they are leaving. Without a list, the daemons that it named last
    /// are still reachable if the digest is theirs.
    pub fn record_named(
        &mut self,
        now: Duration,
        hub: u64,
        digest: u64,
        list: &[(u64, Duration, bool)],
    ) {
        if !list.is_empty() {
            let daemons = list.iter().map(|it| (it.0, it.2)).collect();
            let before = std::mem::replace(&mut self.named, NamedDaemons { hub, digest, daemons });
            let unreachable_at = now.saturating_sub(self.reachable_timeout());
            for (member, _) in before.daemons.iter().filter(|_| before.hub == hub) {
                // The hub has waited for it already.
                if !list.iter().any(|it| it.0 == *member)
                    && let Some(known) = self.known.get_mut(member)
                {
                    known.alive_at = known.alive_at.map(|at| at.min(unreachable_at));
                }
            }
            for (member, age, leaving) in list {
                self.record_alive(*member, now.saturating_sub(*age), *leaving);
            }
        } else if self.named.hub == hub && self.named.digest == digest {
            let named = std::mem::take(&mut self.named.daemons);
            for (member, leaving) in &named {
                self.record_alive(*member, now, *leaving);
            }
            self.named.daemons = named;
        }
    }

    /// Forgets daemons that were not seen for long.
    pub fn sweep(&mut self, now: Duration) {
        let limit = if self.reachable_share(now) > 0.5 {
            FORGET_TIMEOUT
        } else {
            FORGET_TIMEOUT_PARTITIONED
        };
        self.known.retain(|_, it| now < it.alive_at.unwrap_or(it.added_at) + limit);
        self.avoided_parents.retain(|_, until| now < *until);
        self.hub_views.retain(|it| self.known.contains_key(&it));
    }

    /// The entries of all daemons that were ever seen, this daemon's own first.
    pub fn entries(&self) -> Vec<MemberEntry> {
        let known = self.known.values().filter(|it| it.alive_at.is_some());
        std::iter::once(self.own.clone()).chain(known.map(|it| it.entry.clone())).collect()
    }

    /// The reachable daemons but this one: hash of the id, time since it was last seen, and
    /// whether it is leaving.
    pub fn reachable(&self, now: Duration) -> impl Iterator<Item = (u64, Duration, bool)> {
        let reachable_timeout = self.reachable_timeout();
        let known = self.known.values().filter(move |it| it.is_reachable(now, reachable_timeout));
        known.filter_map(move |it| Some((it.member, now.saturating_sub(it.alive_at?), it.leaving)))
    }

    /// The reachable daemons that are not leaving.
    pub fn helpers(&self, now: Duration) -> impl Iterator<Item = &MemberEntry> {
        let reachable_timeout = self.reachable_timeout();
        let known = self.known.values().filter(move |it| it.is_reachable(now, reachable_timeout));
        known.filter(|it| !it.leaving).map(|it| &it.entry)
    }

    /// Hashes of the daemons that report to this one as their hub.
    pub fn children(&self, now: Duration) -> Vec<u64> {
        self.known.values().filter(|it| it.is_child(now)).map(|it| it.member).collect()
    }

    /// Whether any other daemon is reachable.
    pub fn reaches_any(&self, now: Duration) -> bool {
        let reachable_timeout = self.reachable_timeout();
        self.known.values().any(|it| it.is_reachable(now, reachable_timeout))
    }

    /// Whether `fleet_size` can be relied on: this daemon reaches others, or no other is named as a
    /// seed.
    pub fn knows_fleet_size(&self, now: Duration) -> bool {
        self.reaches_any(now) || self.seeds.iter().all(|it| *it == self.own.address)
    }

    /// The addresses to send reports to now. Selects another hub if the current one is silent.
    pub fn gossip_peers(&mut self, now: Duration) -> GossipPeers {
        let mut peers = GossipPeers::default();
        let (members, hubs) = self.hubs(now);
        if hubs.iter().any(|it| members[*it].member == self.own_member) {
            self.parent = None;
            let others = hubs.iter().filter_map(|it| self.known.get(&members[*it].member));
            peers.hubs = others.map(|it| it.entry.address).collect();
            peers.hub_hashes = hubs.iter().map(|it| members[*it].member).collect();
        } else {
            let order = peer_tree::rank_parents(&members, &hubs, self.own_member);
            let order: Vec<u64> = order.into_iter().map(|it| members[it].member).collect();
            peers.parent = self.choose_parent(now, &order).into_iter().collect();
        }
        if !self.reaches_any(now) {
            // No daemon is reachable yet; seeds may know the others.
            peers.hubs.extend(self.seeds.iter().copied().filter(|it| *it != self.own.address));
            peers.hubs.sort();
            peers.hubs.dedup();
        }
        if peers.parent.is_empty() {
            peers.lost_hubs = self.lost_hubs(now);
        }
        for child in self.known.values().filter(|it| it.is_child(now)) {
            peers.children.push(child.entry.address);
            peers.child_hashes.push(child.member);
        }
        peers
    }

    /// Some of the daemons that would be hubs if all known ones were reachable, but are not: others
    /// with each call. Without reports to these, daemons that started together and found only each
    /// other would stay apart from the rest of the fleet.
    fn lost_hubs(&mut self, now: Duration) -> Vec<IpAddr> {
        let known = self.known.values().filter(|it| !it.leaving);
        let members = known.map(|it| self.tree_member(&it.entry, it.member));
        let own = self.tree_member(&self.own, self.own_member);
        let members: Vec<TreeMember> = members.chain([own]).collect();
        let order = peer_tree::rank_members(&members);
        let count = peer_tree::count_hubs(&members, &order);
        let reachable_timeout = self.reachable_timeout();
        let expected = order[..count].iter().filter_map(|it| self.known.get(&members[*it].member));
        let lost = expected.filter(|it| !it.is_reachable(now, reachable_timeout));
        let lost: Vec<IpAddr> = lost.map(|it| it.entry.address).collect();
        let first = self.next_lost_hub;
        self.next_lost_hub = first.wrapping_add(LOST_HUBS_PER_ROUND);
        let chosen = LOST_HUBS_PER_ROUND.min(lost.len());
        (0..chosen).map(|it| lost[first.wrapping_add(it) % lost.len()]).collect()
    }

    fn tree_member(&self, entry: &MemberEntry, member: u64) -> TreeMember {
        let same_domain = entry.domain == self.own.domain;
        TreeMember { member, capacity: entry.capacity, same_domain }
    }

    /// The address of the hub to report to: the first in `order` that is not avoided, or the first
    /// of all if each is avoided.
    fn choose_parent(&mut self, now: Duration, order: &[u64]) -> Option<IpAddr> {
        if let Some(parent) = self.parent {
            let last_message_at = self.known.get(&parent.member).and_then(|it| it.last_message_at);
            let silent_since = last_message_at.map_or(parent.since, |it| it.max(parent.since));
            if now >= silent_since + PARENT_TIMEOUT {
                self.avoided_parents.insert(parent.member, now + PARENT_AVOID_TIME);
            }
        }
        let usable = |it: &&KnownDaemon| !self.avoided_parents.contains_key(&it.member);
        let mut hubs = order.iter().filter_map(|it| self.known.get(it));
        let first = hubs.next()?;
        let chosen = std::iter::once(first).chain(hubs).find(usable).unwrap_or(first);
        let (member, address) = (chosen.member, chosen.entry.address);
        if self.parent.is_none_or(|it| it.member != member) {
            tracing::debug!(hub = %chosen.entry.id, "members: selected a hub to report to");
            self.parent = Some(ParentHub { member, since: now });
        }
        Some(address)
    }

    /// The hash of the id of the hub that this daemon reports to; `None` if it is a hub.
    pub fn parent(&self) -> Option<u64> {
        self.parent.map(|it| it.member)
    }

    /// Number of daemons that this one knows, itself included.
    pub fn known_count(&self) -> usize {
        self.known.len() + 1
    }

    /// Number of daemons that may be running, reachable or not, this one included. A daemon that
    /// has just started knows few of them, so the seeds and what peers reported count too.
    pub fn fleet_size(&self) -> usize {
        let reported = self.known.values().map(|it| it.known_daemons).max().unwrap_or(0);
        self.known_count().max(reported).max(self.seeds.len())
    }

    /// The share of all daemons that this one reaches, itself included, from 0 to 1.
    pub fn reachable_share(&self, now: Duration) -> f64 {
        let reachable_timeout = self.reachable_timeout();
        let reached =
            self.known.values().filter(|it| it.is_reachable(now, reachable_timeout)).count() + 1;
        reached as f64 / self.fleet_size() as f64
    }

    /// The share of all daemons that reach this one and take it for the keeper of a key, itself
    /// included, from 0 to 1.
    pub fn keeper_share(&self, now: Duration, key: u64) -> f64 {
        let reached = self.reachable(now).map(|it| it.0);
        let followers = self.hub_views.count_followers(self.own_member, key, reached) + 1;
        followers as f64 / self.fleet_size() as f64
    }

    /// This daemon's rank among the daemons that may be hubs; 0 is the first.
    pub fn rank(&self, now: Duration) -> usize {
        let members = self.candidates(now);
        let order = peer_tree::rank_members(&members);
        let own = order.iter().position(|it| members[*it].member == self.own_member);
        own.unwrap_or(0)
    }

    /// Whether this daemon is a hub.
    pub fn is_hub(&self, now: Duration) -> bool {
        let (members, hubs) = self.hubs(now);
        hubs.iter().any(|it| members[*it].member == self.own_member)
    }

    /// The home of a customer: the hub that keeps its token bucket; `None` if it is this daemon.
    pub fn home(&self, now: Duration, customer: &CustomerId) -> Option<MemberEntry> {
        self.keeper(now, rendezvous::hash_member(customer.as_str()))
    }

    /// The hub that keeps the tokens with this key; `None` if it is this daemon.
    pub fn keeper(&self, now: Duration, key: u64) -> Option<MemberEntry> {
        let (members, hubs) = self.hubs(now);
        let hashes: Vec<u64> = hubs.iter().map(|it| members[*it].member).collect();
        let home = hashes[*rendezvous::homes(key, &hashes, 1).first()?];
        self.known.get(&home).map(|it| it.entry.clone())
    }

    /// Records that a daemon did not answer: it counts as unreachable until it is seen again.
    pub fn mark_unresponsive(&mut self, now: Duration, id: &InstanceId) {
        if let Some(it) = self.known.get_mut(&rendezvous::hash_member(id.as_str())) {
            it.unresponsive_at = Some(now);
        }
    }

    /// The daemons that may be hubs, this one included, and the indices of those that are.
    fn hubs(&self, now: Duration) -> (Vec<TreeMember>, Vec<usize>) {
        let members = self.candidates(now);
        let mut order = peer_tree::rank_members(&members);
        order.truncate(peer_tree::count_hubs(&members, &order));
        (members, order)
    }

    /// The daemons that may be hubs: reachable or newly named, not leaving, this one included.
    fn candidates(&self, now: Duration) -> Vec<TreeMember> {
        let reachable_timeout = self.reachable_timeout();
        let known = self.known.values().filter(|it| !it.leaving);
        let known = known.filter(|it| it.is_reachable(now, reachable_timeout) || it.is_new(now));
        let known = known.map(|it| self.tree_member(&it.entry, it.member));
        std::iter::once(self.tree_member(&self.own, self.own_member)).chain(known).collect()
    }

    /// The average age of a peer's status when it arrives.
    pub fn gossip_delay(&self) -> Duration {
        let fleet = self.fleet_size();
        let reports = if peer_tree::hub_count(fleet) < fleet { REPORTS_VIA_HUBS } else { 1 };
        GOSSIP_PERIOD * reports / 2
    }

    /// How long a daemon may be unseen before it counts as unreachable.
    fn reachable_timeout(&self) -> Duration {
        let fleet = self.fleet_size();
        if peer_tree::hub_count(fleet) < fleet {
            REACHABLE_TIMEOUT_VIA_HUBS
        } else {
            REACHABLE_TIMEOUT
        }
    }
}
