//! The daemon's part in what all daemons know: it tells its state again and again, passes on
//! what others told, and takes over what is newer.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use policy::rendezvous;

use crate::dialect::Dialect;
use crate::directory::{Directory, Snapshot};
use crate::gateway::{Gateway, lock};
use crate::kv_store::KvStoreView;
use crate::members::GOSSIP_PERIOD;
use crate::peer_message::{
    DaemonStatus, GossipDirection, GossipReport, PeerMessage, PrefixPlacement, WeightStatus,
};
use crate::rate_limit;

/// Under which a daemon keeps the loads that its hub sums up for it.
const SUM_OF_HUB: u64 = 0;
/// What changes seldom goes into one digest of this many.
const SELDOM: u32 = 8;
/// A peer that knows less than this part of the daemons known here is told of all at once.
const LAGGING_PART: usize = 2;

/// Beginnings of prompts to pass on with the next digests.
#[derive(Debug, Default)]
pub(crate) struct PrefixRelay {
    /// Placed by this daemon and those that take it for their hub.
    below: Mutex<Vec<PrefixPlacement>>,
    /// Told by other hubs.
    beside: Mutex<Vec<PrefixPlacement>>,
}

/// Tells peers this daemon's state until the process ends.
pub(crate) async fn tell<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    // Daemons that start together do not all speak at the same moment.
    tokio::time::sleep(GOSSIP_PERIOD.mul_f64(rand::random())).await;
    let mut round = 0_u32;
    loop {
        let began = gateway.now();
        tell_round(&gateway, round.is_multiple_of(SELDOM)).await;
        round = round.wrapping_add(1);
        let now = gateway.now();
        lock(&gateway.members).sweep(now);
        lock(&gateway.fleet).sweep(now);
        gateway.connections.close_expired();
        tokio::time::sleep((began + GOSSIP_PERIOD).saturating_sub(now)).await;
    }
}

async fn tell_round<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, seldom: bool) {
    let neighbours = lock(&gateway.members).gossip_peers(gateway.now());
    let own = lock(&gateway.fleet).take_prefix_placements();
    let mut news = std::mem::take(&mut *lock(&gateway.prefix_relay.below));
    let beside = std::mem::take(&mut *lock(&gateway.prefix_relay.beside));
    send_digest(gateway, &neighbours.parent, GossipDirection::ToParent, &own, seldom);
    news.extend(own);
    send_digest(gateway, &neighbours.hubs, GossipDirection::BetweenHubs, &news, seldom);
    news.extend(beside);
    // A link that gets all of a hub's digests at once loses other datagrams.
    let pause = GOSSIP_PERIOD / (neighbours.children.len() as u32 + 1);
    for (address, member) in neighbours.children.iter().zip(&neighbours.child_hashes) {
        tokio::time::sleep(pause).await;
        send_digest(gateway, &[*address], GossipDirection::ToChild(*member), &news, seldom);
    }
}

fn send_digest<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    to: &[IpAddr],
    way: GossipDirection,
    prefixes: &[PrefixPlacement],
    seldom: bool,
) {
    if !to.is_empty() {
        let digest = digest(gateway, way, prefixes, seldom);
        gateway.peer_socket.send(to, &PeerMessage::Gossip(Box::new(digest)));
    }
}

/// Tells peers at once that this daemon leaves.
pub(crate) fn tell_leaving<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let neighbours = lock(&gateway.members).gossip_peers(gateway.now());
    send_digest(gateway, &neighbours.parent, GossipDirection::ToParent, &[], false);
    send_digest(gateway, &neighbours.hubs, GossipDirection::BetweenHubs, &[], false);
}

fn digest<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    way: GossipDirection,
    prefixes: &[PrefixPlacement],
    seldom: bool,
) -> GossipReport {
    let now = gateway.now();
    let (control, listing) = {
        let view = lock(&gateway.view);
        let control = view
            .control_at()
            .map(|at| (view.control_revision(), now.saturating_sub(at), view.control_hash()));
        let listing = view.listing();
        let listing = listing.map(|it| (it.revision, now.saturating_sub(it.read_at), it.hash));
        (control, listing)
    };
    let members = lock(&gateway.members);
    let fleet = lock(&gateway.fleet);
    let mut origins = vec![DaemonStatus {
        origin: rendezvous::hash_member(gateway.own.id.as_str()),
        age: Duration::ZERO,
        leaving: gateway.is_leaving(),
        loads: match way {
            GossipDirection::ToChild(child) => fleet.loads_excluding(now, child),
            GossipDirection::ToParent | GossipDirection::BetweenHubs => fleet.own_loads(now),
        },
    }];
    let children = members.children(now);
    for (origin, age, leaving) in members.reachable(now) {
        let loads = match way {
            GossipDirection::ToParent => continue,
            GossipDirection::BetweenHubs if children.contains(&origin) => fleet.peer_loads(origin),
            GossipDirection::BetweenHubs => continue,
            // The sum stands with the sender.
            GossipDirection::ToChild(_) => Vec::new(),
        };
        origins.push(DaemonStatus { origin, age, leaving, loads });
    }
    GossipReport {
        from: gateway.own.clone(),
        way,
        alone: !members.reaches_any(now),
        known: u32::try_from(members.known_count()).unwrap_or(u32::MAX),
        control,
        listing,
        origins,
        weights: if seldom { fleet.weight_statuses() } else { Vec::new() },
        kv_store: fleet.kv_store.map(|it| it.news(now)),
        prefixes: prefixes.to_vec(),
        leaving_targets: fleet.leaving_replicas(),
        members: if seldom { members.entries() } else { Vec::new() },
    }
}

/// Passes on what operators ordered.
pub(crate) fn push_control<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: Option<IpAddr>,
) {
    let to = lock(&gateway.members).gossip_peers(gateway.now()).forward_targets(source);
    send_control(gateway, &to);
}

/// Passes on which replicas are listed.
pub(crate) fn push_listing<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: Option<IpAddr>,
) {
    let to = lock(&gateway.members).gossip_peers(gateway.now()).forward_targets(source);
    send_listing(gateway, &to);
}

/// Takes news of weights and passes them on.
pub(crate) fn spread_weights<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    news: &[WeightStatus],
    source: Option<IpAddr>,
) {
    let now = gateway.now();
    let fresh: Vec<WeightStatus> = {
        let mut fleet = lock(&gateway.fleet);
        news.iter().filter(|it| fleet.merge_weight_status(now, **it)).copied().collect()
    };
    if fresh.is_empty() {
        return;
    }
    gateway.view_changed.notify_waiters();
    gateway.capacity_freed.notify_waiters();
    let to = lock(&gateway.members).gossip_peers(now).forward_targets(source);
    gateway.peer_socket.send(&to, &PeerMessage::Weights(fresh));
}

/// Hears peers until the process ends.
pub(crate) async fn listen<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    let mut buffer = Vec::new();
    loop {
        let (from, message) = gateway.peer_socket.receive(&mut buffer).await;
        hear(&gateway, from, message);
    }
}

fn hear<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, from: IpAddr, message: PeerMessage) {
    let now = gateway.now();
    match message {
        PeerMessage::Gossip(digest) => hear_digest(gateway, from, &digest),
        PeerMessage::Control(revision, age, state) => {
            let snapshot = Snapshot { revision, store_time: Duration::ZERO, value: *state };
            if gateway.apply_control(now.saturating_sub(age), snapshot, "peer").any() {
                push_control(gateway, Some(from));
            }
        }
        PeerMessage::Listing(revision, age, entries) => {
            let snapshot = Snapshot { revision, store_time: Duration::ZERO, value: entries };
            if gateway.apply_listing(now.saturating_sub(age), snapshot, "peer").any() {
                push_listing(gateway, Some(from));
            }
        }
        PeerMessage::Members(entries) => {
            let mut members = lock(&gateway.members);
            entries.iter().for_each(|it| members.add(now, it));
        }
        PeerMessage::Weights(news) => spread_weights(gateway, &news, Some(from)),
        PeerMessage::QuotaQuery(question) => rate_limit::answer_peer(gateway, from, &question),
        PeerMessage::QuotaReply { query_id, wait } => {
            gateway.peer_socket.complete_query(query_id, wait)
        }
        PeerMessage::Strike(strike) => {
            if lock(&gateway.quarantine).record_strike(now, strike) {
                let to = lock(&gateway.members).gossip_peers(now).forward_targets(Some(from));
                gateway.peer_socket.send(&to, &PeerMessage::Strike(strike));
            }
        }
    }
}

fn hear_digest<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    digest: &GossipReport,
) {
    let now = gateway.now();
    if digest.from.id == gateway.own.id {
        return;
    }
    let unknown_to_peer = {
        let mut members = lock(&gateway.members);
        let known = digest.known as usize;
        members.record_message(now, &digest.from, known, digest.way == GossipDirection::ToParent);
        for it in &digest.members {
            members.add(now, it);
        }
        for it in &digest.origins {
            members.record_alive(it.origin, now.saturating_sub(it.age), it.leaving);
        }
        let lags = known < members.known_count() / LAGGING_PART;
        if lags { members.entries() } else { Vec::new() }
    };
    let behind = compare(gateway, digest);
    let sender = rendezvous::hash_member(digest.from.id.as_str());
    {
        let mut fleet = lock(&gateway.fleet);
        for it in &digest.origins {
            match digest.way {
                // The sum stands with the sender; it may be empty.
                GossipDirection::ToChild(_) if it.origin == sender => {
                    fleet.record_peer_loads(now, SUM_OF_HUB, &it.loads);
                }
                GossipDirection::ToChild(_) => {}
                _ => fleet.record_peer_loads(now.saturating_sub(it.age), it.origin, &it.loads),
            }
        }
        fleet.apply_leaving(&digest.leaving_targets);
        if let Some(news) = digest.kv_store {
            fleet.record_kv_store(KvStoreView::heard(now, news));
        }
        fleet.record_prefixes(now, &digest.prefixes);
        fleet.pause_unresponsive(now);
    }
    let relay = match digest.way {
        GossipDirection::ToParent => Some(&gateway.prefix_relay.below),
        GossipDirection::BetweenHubs => Some(&gateway.prefix_relay.beside),
        GossipDirection::ToChild(_) => None,
    };
    if let Some(relay) = relay {
        lock(relay).extend_from_slice(&digest.prefixes);
    }
    spread_weights(gateway, &digest.weights, Some(from));
    if digest.alone {
        send_digest(gateway, &[from], GossipDirection::ToChild(sender), &[], true);
    }
    if !unknown_to_peer.is_empty() {
        gateway.peer_socket.send(&[from], &PeerMessage::Members(unknown_to_peer));
    }
    if behind.control {
        send_control(gateway, &[from]);
    }
    if behind.listing {
        send_listing(gateway, &[from]);
    }
}

/// What a peer does not know yet.
#[derive(Debug, Clone, Copy)]
struct PeerLag {
    control: bool,
    listing: bool,
}

/// Confirms beliefs that a peer shares and has checked later; finds what it lacks.
fn compare<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, digest: &GossipReport) -> PeerLag {
    let now = gateway.now();
    let mut view = lock(&gateway.view);
    let mut lag = PeerLag { control: false, listing: false };
    match digest.control {
        Some((revision, age, mark)) if mark == view.control_hash() => {
            view.confirm_control(revision, now.saturating_sub(age));
        }
        Some((revision, ..)) => lag.control = revision < view.control_revision(),
        None => lag.control = view.control_at().is_some(),
    }
    let Some(listing) = view.listing() else { return lag };
    match digest.listing {
        Some((revision, age, mark)) if mark == listing.hash => {
            view.confirm_listing(revision, now.saturating_sub(age));
        }
        Some((revision, ..)) => lag.listing = revision < listing.revision,
        None => lag.listing = true,
    }
    lag
}

fn send_control<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let message = {
        let view = lock(&gateway.view);
        let Some(at) = view.control_at() else { return };
        let now = gateway.now();
        let age = now.saturating_sub(at);
        PeerMessage::Control(view.control_revision(), age, Box::new(view.control(now)))
    };
    gateway.peer_socket.send(to, &message);
}

fn send_listing<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let message = {
        let view = lock(&gateway.view);
        let Some(listing) = view.listing() else { return };
        let age = gateway.now().saturating_sub(listing.read_at);
        PeerMessage::Listing(listing.revision, age, listing.entries.to_vec())
    };
    gateway.peer_socket.send(to, &message);
}
