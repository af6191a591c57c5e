//! The daemon's part in what all daemons know: it tells its state again and again, passes on
//! what others told, and takes over what is newer.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use policy::rendezvous;

use crate::dialect::Dialect;
use crate::digest::{
    Digest, DigestWay, OriginState, PeerMessage, PrefixNews, TargetLoad, WeightNews,
};
use crate::directory::{Directory, Snapshot};
use crate::gateway::{Gateway, lock};
use crate::kept::KeptCache;
use crate::quota::QuotaSource;

/// The time between two digests.
const DIGEST_PERIOD: Duration = Duration::from_millis(250);
/// What changes seldom goes into one digest of this many.
const SELDOM: u32 = 8;

/// Beginnings of prompts to pass on with the next digests.
#[derive(Debug, Default)]
pub(crate) struct PrefixRelay {
    /// Placed by this daemon and those that take it for their hub.
    below: Mutex<Vec<PrefixNews>>,
    /// Told by other hubs.
    beside: Mutex<Vec<PrefixNews>>,
}

/// Tells peers this daemon's state until the process ends.
pub(crate) async fn tell<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    let mut round = 0_u32;
    loop {
        tell_round(&gateway, round.is_multiple_of(SELDOM));
        round = round.wrapping_add(1);
        let now = gateway.now();
        lock(&gateway.members).sweep(now);
        lock(&gateway.fleet).sweep_loads(now);
        gateway.connections.sweep();
        tokio::time::sleep(DIGEST_PERIOD).await;
    }
}

/// Tells peers at once that this daemon leaves.
pub(crate) fn tell_now<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    tell_round(gateway, true);
}

fn tell_round<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, seldom: bool) {
    let neighbours = lock(&gateway.members).neighbours(gateway.now());
    let own = lock(&gateway.fleet).take_prefix_news();
    let mut below = std::mem::take(&mut *lock(&gateway.prefix_relay.below));
    let beside = std::mem::take(&mut *lock(&gateway.prefix_relay.beside));
    let send = |to: &[IpAddr], way, prefixes: &[PrefixNews]| {
        if !to.is_empty() {
            let digest = digest(gateway, way, prefixes, seldom);
            gateway.peers.send(to, &PeerMessage::Digest(Box::new(digest)));
        }
    };
    send(&neighbours.up, DigestWay::Up, &own);
    below.extend(own);
    send(&neighbours.across, DigestWay::Across, &below);
    below.extend(beside);
    send(&neighbours.down, DigestWay::Down, &below);
}

fn digest<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    way: DigestWay,
    prefixes: &[PrefixNews],
    seldom: bool,
) -> Digest {
    let now = gateway.now();
    let (control, listing) = {
        let beliefs = lock(&gateway.beliefs);
        let control = beliefs.control_at().map(|at| {
            (beliefs.control_revision(), now.saturating_sub(at), beliefs.control_mark())
        });
        let listing = beliefs.listing();
        let listing = listing.map(|it| (it.revision, now.saturating_sub(it.read_at), it.mark));
        (control, listing)
    };
    let members = lock(&gateway.members);
    let fleet = lock(&gateway.fleet);
    let mut origins = vec![OriginState {
        origin: rendezvous::member_hash(gateway.own.id.as_str()),
        age: Duration::ZERO,
        leaving: gateway.is_leaving(),
        loads: fleet.own_loads(),
    }];
    if way != DigestWay::Up {
        let children = members.children(now);
        let told = members.heard(now).filter(|it| way == DigestWay::Down || children.contains(&it.0));
        origins.extend(told.map(|(origin, age, leaving)| OriginState {
            origin,
            age,
            leaving,
            loads: fleet.peer_loads(origin),
        }));
    }
    Digest {
        from: gateway.own.clone(),
        way,
        alone: !members.hears_any(now),
        control,
        listing,
        origins,
        weights: if seldom { fleet.weight_news() } else { Vec::new() },
        kept: fleet.kept.map(|it| it.news(now)),
        prefixes: prefixes.to_vec(),
        leaving_targets: fleet.leaving_members(),
        members: if seldom { members.entries() } else { Vec::new() },
    }
}

/// Tells peers what operators ordered, but for the one it came from.
pub(crate) fn push_control<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: Option<IpAddr>,
) {
    let to = lock(&gateway.members).neighbours(gateway.now()).all_but(source);
    send_control(gateway, &to);
}

/// Tells peers which replicas are listed, but for the one it came from.
pub(crate) fn push_listing<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: Option<IpAddr>,
) {
    let to = lock(&gateway.members).neighbours(gateway.now()).all_but(source);
    send_listing(gateway, &to);
}

/// Takes news of weights and passes them on, but to the one they came from.
pub(crate) fn spread_weights<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    news: &[WeightNews],
    source: Option<IpAddr>,
) {
    let now = gateway.now();
    let fresh: Vec<WeightNews> = {
        let mut fleet = lock(&gateway.fleet);
        news.iter().filter(|it| fleet.hear_weights(now, **it)).copied().collect()
    };
    if fresh.is_empty() {
        return;
    }
    gateway.believed.notify_waiters();
    gateway.freed.notify_waiters();
    let to = lock(&gateway.members).neighbours(now).all_but(source);
    gateway.peers.send(&to, &PeerMessage::Weights(fresh));
}

/// Hears peers until the process ends.
pub(crate) async fn listen<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    let mut buffer = Vec::new();
    loop {
        let (from, message) = gateway.peers.receive(&mut buffer).await;
        hear(&gateway, from, message);
    }
}

fn hear<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, from: IpAddr, message: PeerMessage) {
    let now = gateway.now();
    match message {
        PeerMessage::Digest(digest) => hear_digest(gateway, from, &digest),
        PeerMessage::Control(revision, age, state) => {
            let snapshot = Snapshot { revision, store_now: Duration::ZERO, value: *state };
            if gateway.adopt_control(now.saturating_sub(age), snapshot, "peer").any() {
                push_control(gateway, Some(from));
            }
        }
        PeerMessage::Listing(revision, age, entries) => {
            let snapshot = Snapshot { revision, store_now: Duration::ZERO, value: entries };
            if gateway.adopt_listing(now.saturating_sub(age), snapshot, "peer").any() {
                push_listing(gateway, Some(from));
            }
        }
        PeerMessage::Weights(news) => spread_weights(gateway, &news, Some(from)),
        PeerMessage::Take { ticket, customer, tokens } => {
            let Some(config) = gateway.config() else { return };
            let Some(rule) = config.customers.get(&customer) else { return };
            let share = lock(&gateway.members).reachable_share(now);
            let source = QuotaSource::Home(share);
            let taken = lock(&gateway.quotas).take(now, &customer, rule, tokens, source);
            gateway.peers.send(&[from], &PeerMessage::Taken { ticket, wait: taken.err() });
        }
        PeerMessage::Taken { ticket, wait } => gateway.peers.answer(ticket, wait),
        PeerMessage::Strike(strike) => {
            if lock(&gateway.quarantine).strike(now, strike) {
                let to = lock(&gateway.members).neighbours(now).all_but(Some(from));
                gateway.peers.send(&to, &PeerMessage::Strike(strike));
            }
        }
    }
}

fn hear_digest<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, from: IpAddr, digest: &Digest) {
    let now = gateway.now();
    if digest.from.id == gateway.own.id {
        return;
    }
    {
        let mut members = lock(&gateway.members);
        members.hear(now, &digest.from, digest.way == DigestWay::Up);
        for it in &digest.members {
            members.add(now, it);
        }
        for it in &digest.origins {
            members.hear_of(it.origin, now.saturating_sub(it.age), it.leaving);
        }
    }
    let behind = compare(gateway, digest);
    {
        let own = rendezvous::member_hash(gateway.own.id.as_str());
        let mut fleet = lock(&gateway.fleet);
        for it in digest.origins.iter().filter(|it| it.origin != own) {
            let loads: &[TargetLoad] = &it.loads;
            fleet.hear_loads(now.saturating_sub(it.age), it.origin, loads);
        }
        fleet.hear_leaving(&digest.leaving_targets);
        if let Some(news) = digest.kept {
            fleet.hear_kept(KeptCache::heard(now, news));
        }
        fleet.hear_prefixes(now, &digest.prefixes);
    }
    let relay = match digest.way {
        DigestWay::Up => Some(&gateway.prefix_relay.below),
        DigestWay::Across => Some(&gateway.prefix_relay.beside),
        DigestWay::Down => None,
    };
    if let Some(relay) = relay {
        lock(relay).extend_from_slice(&digest.prefixes);
    }
    spread_weights(gateway, &digest.weights, Some(from));
    if digest.alone {
        let answer = self::digest(gateway, DigestWay::Down, &[], true);
        gateway.peers.send(&[from], &PeerMessage::Digest(Box::new(answer)));
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
fn compare<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, digest: &Digest) -> PeerLag {
    let now = gateway.now();
    let mut beliefs = lock(&gateway.beliefs);
    let mut lag = PeerLag { control: false, listing: false };
    match digest.control {
        Some((revision, age, mark)) if mark == beliefs.control_mark() => {
            beliefs.confirm_control(revision, now.saturating_sub(age));
        }
        Some((revision, ..)) => lag.control = revision < beliefs.control_revision(),
        None => lag.control = beliefs.control_at().is_some(),
    }
    let Some(listing) = beliefs.listing() else { return lag };
    match digest.listing {
        Some((revision, age, mark)) if mark == listing.mark => {
            beliefs.confirm_listing(revision, now.saturating_sub(age));
        }
        Some((revision, ..)) => lag.listing = revision < listing.revision,
        None => lag.listing = true,
    }
    lag
}

fn send_control<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let message = {
        let beliefs = lock(&gateway.beliefs);
        let Some(at) = beliefs.control_at() else { return };
        let age = gateway.now().saturating_sub(at);
        PeerMessage::Control(beliefs.control_revision(), age, Box::new(beliefs.control()))
    };
    gateway.peers.send(to, &message);
}

fn send_listing<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let message = {
        let beliefs = lock(&gateway.beliefs);
        let Some(listing) = beliefs.listing() else { return };
        let age = gateway.now().saturating_sub(listing.read_at);
        PeerMessage::Listing(listing.revision, age, listing.entries.to_vec())
    };
    gateway.peers.send(to, &message);
}
