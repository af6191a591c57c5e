//! The daemons that this one knows, when they were last heard, and who tells whom.

use std::net::IpAddr;
use std::time::Duration;

use ids::{CustomerId, InstanceId};
use indexmap::IndexMap;
use policy::peer_tree::{self, TreeMember};
use policy::rendezvous;

use crate::directory::MemberEntry;

/// A daemon not heard for this long is taken to be out of reach, where all tell each other.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same where hubs pass on who runs: some of their digests get lost.
const REACHABLE_TIMEOUT_VIA_HUBS: Duration = Duration::from_millis(2_500);
/// The time between two digests.
pub(crate) const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
/// Digests that news go through from one daemon to another behind hubs.
const REPORTS_VIA_HUBS: u32 = 3;
/// A daemon not heard for this long is forgotten by one that reaches most daemons.
const FORGET_TIMEOUT: Duration = Duration::from_secs(15);
/// The same by one that does not: it may be cut off itself, while the others still spend their
/// shares of what all share.
const FORGET_TIMEOUT_PARTITIONED: Duration = Duration::from_secs(600);
/// A daemon that was just named counts as reachable for this long, until it is heard.
const NEW_MEMBER_GRACE: Duration = Duration::from_millis(1_500);
/// A hub that does not answer for this long is left for the next one.
const PARENT_TIMEOUT: Duration = Duration::from_millis(750);
/// How long it is left.
const PARENT_AVOID_TIME: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct KnownDaemon {
    entry: MemberEntry,
    member: u64,
    /// When it was last known to run, from itself or through others.
    alive_at: Option<Duration>,
    /// When it last spoke to this daemon itself.
    last_message_at: Option<Duration>,
    /// When it last spoke as to its hub.
    child_message_at: Option<Duration>,
    added_at: Duration,
    /// When it last failed to answer this daemon.
    unresponsive_at: Option<Duration>,
    /// Daemons that it said it knows.
    known_daemons: usize,
    leaving: bool,
}

/// The hub of a daemon that is none.
#[derive(Debug, Clone)]
struct ParentHub {
    id: InstanceId,
    since: Duration,
}

/// Daemons by id.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberEntry,
    own_member: u64,
    seeds: Vec<IpAddr>,
    known: IndexMap<InstanceId, KnownDaemon>,
    parent: Option<ParentHub>,
    avoided_parents: IndexMap<InstanceId, Duration>,
}

/// To whom a daemon tells what.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipPeers {
    /// The hub of this daemon, if it is none itself.
    pub parent: Vec<IpAddr>,
    /// The other hubs, if this daemon is one.
    pub hubs: Vec<IpAddr>,
    /// Daemons that take this one for their hub.
    pub children: Vec<IpAddr>,
    /// The hashes of their ids, in the same order.
    pub child_hashes: Vec<u64>,
}

impl GossipPeers {
    /// To whom news go that came from `source`, or arose here: what another hub or the own hub
    /// told goes down only, since hubs tell each other themselves.
    pub fn forward_targets(&self, source: Option<IpAddr>) -> Vec<IpAddr> {
        let from_hub =
            source.is_some_and(|it| self.hubs.contains(&it) || self.parent.contains(&it));
        let hubs = self.parent.iter().chain(&self.hubs).filter(|_| !from_hub);
        let all = hubs.chain(&self.children).copied();
        let mut all: Vec<IpAddr> = all.filter(|it| Some(*it) != source).collect();
        all.sort();
        all.dedup();
        all
    }
}

impl MemberTable {
    /// Knows only itself and the addresses of seeds.
    pub fn new(own: MemberEntry, seeds: Vec<IpAddr>) -> MemberTable {
        MemberTable {
            own_member: rendezvous::hash_member(own.id.as_str()),
            own,
            seeds,
            known: IndexMap::new(),
            parent: None,
            avoided_parents: IndexMap::new(),
        }
    }

    /// Other daemons are the ones that may know others.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.seeds = seeds;
    }

    /// A daemon was named by the store or a peer.
    pub fn add(&mut self, now: Duration, entry: &MemberEntry) {
        if entry.id == self.own.id {
            return;
        }
        match self.known.get_mut(&entry.id) {
            Some(it) if it.entry.incarnation >= entry.incarnation => {}
            Some(it) => it.entry = entry.clone(),
            None => {
                let known = KnownDaemon {
                    entry: entry.clone(),
                    member: rendezvous::hash_member(entry.id.as_str()),
                    alive_at: None,
                    last_message_at: None,
                    child_message_at: None,
                    added_at: now,
                    unresponsive_at: None,
                    known_daemons: 0,
                    leaving: false,
                };
                self.known.insert(entry.id.clone(), known);
            }
        }
    }

    /// A daemon spoke, which knows so many daemons; `to_hub`: as to its hub.
    pub fn record_message(
        &mut self,
        now: Duration,
        entry: &MemberEntry,
        known_daemons: usize,
        to_hub: bool,
    ) {
        self.add(now, entry);
        let Some(it) = self.known.get_mut(&entry.id) else { return };
        it.known_daemons = known_daemons;
        it.last_message_at = Some(now);
        it.child_message_at = if to_hub { Some(now) } else { None };
    }

    /// A daemon was known to run at `heard_at`.
    pub fn record_alive(&mut self, member: u64, alive_at: Duration, leaving: bool) {
        let known = self.known.values_mut().find(|it| it.member == member);
        if let Some(it) = known.filter(|it| it.alive_at.is_none_or(|at| at <= alive_at)) {
            it.alive_at = Some(alive_at);
            it.leaving = leaving;
        }
    }

    /// Forgets daemons not heard for long.
    pub fn sweep(&mut self, now: Duration) {
        let limit = if self.reachable_share(now) > 0.5 {
            FORGET_TIMEOUT
        } else {
            FORGET_TIMEOUT_PARTITIONED
        };
        self.known.retain(|_, it| now < it.alive_at.unwrap_or(it.added_at) + limit);
        self.avoided_parents.retain(|_, until| now < *until);
    }

    /// All entries heard, this daemon's own first.
    pub fn entries(&self) -> Vec<MemberEntry> {
        let known = self.known.values().filter(|it| it.alive_at.is_some());
        std::iter::once(self.own.clone()).chain(known.map(|it| it.entry.clone())).collect()
    }

    /// The daemons heard lately, by hash, and how long ago; not this one.
    pub fn reachable(&self, now: Duration) -> impl Iterator<Item = (u64, Duration, bool)> {
        let reachable_timeout = self.reachable_timeout();
        let known = self.known.values().filter(move |it| it.is_reachable(now, reachable_timeout));
        known.filter_map(move |it| Some((it.member, now.saturating_sub(it.alive_at?), it.leaving)))
    }

    /// Daemons that take this one for their hub, by hash.
    pub fn children(&self, now: Duration) -> Vec<u64> {
        self.known.values().filter(|it| it.is_child(now)).map(|it| it.member).collect()
    }

    /// Whether any other daemon was heard.
    pub fn reaches_any(&self, now: Duration) -> bool {
        let reachable_timeout = self.reachable_timeout();
        self.known.values().any(|it| it.is_reachable(now, reachable_timeout))
    }

    /// Whether this daemon knows how many there are: it hears others, or nobody named any.
    pub fn knows_fleet_size(&self, now: Duration) -> bool {
        self.reaches_any(now) || self.seeds.iter().all(|it| *it == self.own.address)
    }

    /// To whom this daemon tells what now. Turns to another hub if its own is silent.
    pub fn gossip_peers(&mut self, now: Duration) -> GossipPeers {
        let mut set = GossipPeers::default();
        let (members, hubs) = self.hubs(now);
        if hubs.iter().any(|it| members[*it].member == self.own_member) {
            self.parent = None;
            let others = hubs.iter().filter_map(|it| self.by_member(members[*it].member));
            set.hubs = others.map(|it| it.entry.address).collect();
        } else {
            let order = peer_tree::rank_parents(&members, &hubs, self.own_member);
            let order: Vec<u64> = order.into_iter().map(|it| members[it].member).collect();
            set.parent = self.choose_parent(now, &order).into_iter().collect();
        }
        if !self.reaches_any(now) {
            // Nobody is heard yet: seeds may know the others.
            set.hubs.extend(self.seeds.iter().copied().filter(|it| *it != self.own.address));
            set.hubs.sort();
            set.hubs.dedup();
        }
        for child in self.known.values().filter(|it| it.is_child(now)) {
            set.children.push(child.entry.address);
            set.child_hashes.push(child.member);
        }
        set
    }

    fn choose_parent(&mut self, now: Duration, order: &[u64]) -> Option<IpAddr> {
        if let Some(parent) = &self.parent {
            let last_message_at = self.known.get(&parent.id).and_then(|it| it.last_message_at);
            let heard = last_message_at.map_or(parent.since, |it| it.max(parent.since));
            if now >= heard + PARENT_TIMEOUT {
                self.avoided_parents.insert(parent.id.clone(), now + PARENT_AVOID_TIME);
            }
        }
        let usable = |it: &&KnownDaemon| !self.avoided_parents.contains_key(&it.entry.id);
        let mut hubs = order.iter().filter_map(|it| self.by_member(*it));
        let first = hubs.next()?;
        let chosen = std::iter::once(first).chain(hubs).find(usable).unwrap_or(first);
        let (id, address) = (chosen.entry.id.clone(), chosen.entry.address);
        if self.parent.as_ref().is_none_or(|it| it.id != id) {
            tracing::debug!(hub = %id, "members: turns to a hub");
            self.parent = Some(ParentHub { id, since: now });
        }
        Some(address)
    }

    /// Daemons that this one knows itself, with itself.
    pub fn known_count(&self) -> usize {
        self.known.len() + 1
    }

    /// Daemons that may run, whether they can be reached or not, with this one. A daemon that has
    /// just started knows few of them: its seeds and what its peers know count too.
    pub fn fleet_size(&self) -> usize {
        let told = self.known.values().map(|it| it.known_daemons).max().unwrap_or(0);
        self.known_count().max(told).max(self.seeds.len())
    }

    /// The share of all daemons that this one reaches, with itself.
    pub fn reachable_share(&self, now: Duration) -> f64 {
        let reachable_timeout = self.reachable_timeout();
        let reached =
            self.known.values().filter(|it| it.is_reachable(now, reachable_timeout)).count() + 1;
        reached as f64 / self.fleet_size() as f64
    }

    /// This daemon's place among those that can be reached and stay; 0 is the first.
    pub fn rank(&self, now: Duration) -> usize {
        let members = self.candidates(now);
        let order = peer_tree::rank_members(&members);
        let own = order.iter().position(|it| members[*it].member == self.own_member);
        own.unwrap_or(0)
    }

    /// Whether this daemon is a hub.
    pub fn is_hub(&self, now: Duration) -> bool {
        self.rank(now) < peer_tree::hub_count(self.candidates(now).len())
    }

    /// The daemon that keeps a customer's bucket: `None` if it is this one.
    pub fn home(&self, now: Duration, customer: &CustomerId) -> Option<MemberEntry> {
        let (members, hubs) = self.hubs(now);
        let hashes: Vec<u64> = hubs.iter().map(|it| members[*it].member).collect();
        let key = rendezvous::hash_member(customer.as_str());
        let home = hashes[*rendezvous::homes(key, &hashes, 1).first()?];
        self.by_member(home).map(|it| it.entry.clone())
    }

    /// A daemon did not answer: it is taken to be out of reach until it speaks again.
    pub fn mark_unresponsive(&mut self, now: Duration, id: &InstanceId) {
        if let Some(it) = self.known.get_mut(id) {
            it.unresponsive_at = Some(now);
        }
    }

    /// Daemons that can be reached and stay, with this one; and which of them are hubs.
    fn hubs(&self, now: Duration) -> (Vec<TreeMember>, Vec<usize>) {
        let members = self.candidates(now);
        let mut order = peer_tree::rank_members(&members);
        order.truncate(peer_tree::hub_count(members.len()));
        (members, order)
    }

    fn candidates(&self, now: Duration) -> Vec<TreeMember> {
        let tree = |entry: &MemberEntry, member| TreeMember {
            member,
            capacity: entry.capacity,
            same_domain: entry.domain == self.own.domain,
        };
        let reachable_timeout = self.reachable_timeout();
        let known = self.known.values().filter(|it| !it.leaving);
        let known = known.filter(|it| it.is_reachable(now, reachable_timeout) || it.is_new(now));
        let known = known.map(|it| tree(&it.entry, it.member));
        std::iter::once(tree(&self.own, self.own_member)).chain(known).collect()
    }

    /// How old news of a peer are on average when they arrive.
    pub fn gossip_delay(&self) -> Duration {
        let fleet = self.fleet_size();
        let digests = if peer_tree::hub_count(fleet) < fleet { REPORTS_VIA_HUBS } else { 1 };
        GOSSIP_PERIOD * digests / 2
    }

    /// How long a daemon may be silent before it is taken to be out of reach.
    fn reachable_timeout(&self) -> Duration {
        let fleet = self.fleet_size();
        if peer_tree::hub_count(fleet) < fleet {
            REACHABLE_TIMEOUT_VIA_HUBS
        } else {
            REACHABLE_TIMEOUT
        }
    }

    fn by_member(&self, member: u64) -> Option<&KnownDaemon> {
        self.known.values().find(|it| it.member == member)
    }
}

impl KnownDaemon {
    fn is_reachable(&self, now: Duration, reachable_timeout: Duration) -> bool {
        let unresponsive_at = self.unresponsive_at;
        let heard = self.alive_at.filter(|at| unresponsive_at.is_none_or(|it| it < *at));
        heard.is_some_and(|it| now < it + reachable_timeout)
    }

    fn is_new(&self, now: Duration) -> bool {
        self.alive_at.is_none()
            && self.unresponsive_at.is_none()
            && now < self.added_at + NEW_MEMBER_GRACE
    }

    fn is_child(&self, now: Duration) -> bool {
        self.child_message_at.is_some_and(|it| now < it + REACHABLE_TIMEOUT)
    }
}
