//! The daemon's part in what all daemons know: it tells its state again and again, and takes
//! over what is newer.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::Revision;
use policy::rendezvous;

use crate::dialect::Dialect;
use crate::digest::{Digest, PeerMessage};
use crate::directory::{Directory, Snapshot};
use crate::gateway::{Gateway, lock};
use crate::kept::KeptCache;
use crate::quota::QuotaSource;

/// The time between two digests.
const DIGEST_PERIOD: Duration = Duration::from_millis(250);

/// Tells peers this daemon's state until the process ends.
pub(crate) async fn tell<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    loop {
        tell_now(&gateway);
        lock(&gateway.members).sweep(gateway.now());
        gateway.connections.sweep();
        tokio::time::sleep(DIGEST_PERIOD).await;
    }
}

/// Tells peers this daemon's state at once.
pub(crate) fn tell_now<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let digest = PeerMessage::Digest(Box::new(own_digest(gateway)));
    let addresses = lock(&gateway.members).addresses();
    gateway.peers.send(&addresses, &digest);
}

/// Tells all peers what operators ordered.
pub(crate) fn push_control<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let addresses = lock(&gateway.members).addresses();
    send_control(gateway, &addresses);
}

/// Tells all peers which replicas are listed.
pub(crate) fn push_listing<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let addresses = lock(&gateway.members).addresses();
    send_listing(gateway, &addresses);
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
            let snapshot =
                Snapshot { revision, store_now: Duration::ZERO, value: *state };
            gateway.adopt_control(now.saturating_sub(age), snapshot, "peer");
        }
        PeerMessage::Listing(revision, age, entries) => {
            let snapshot = Snapshot { revision, store_now: Duration::ZERO, value: entries };
            gateway.adopt_listing(now.saturating_sub(age), snapshot, "peer");
        }
        PeerMessage::Take { ticket, customer, tokens, .. } => {
            let Some(config) = gateway.config() else { return };
            let Some(rule) = config.customers.get(&customer) else { return };
            let share = lock(&gateway.members).reachable_share(now);
            let source = QuotaSource::Home(share);
            let taken = lock(&gateway.quotas).take(now, &customer, rule, tokens, source);
            gateway.peers.send(&[from], &PeerMessage::Taken { ticket, wait: taken.err() });
        }
        PeerMessage::Taken { ticket, wait } => gateway.peers.answer(ticket, wait),
        PeerMessage::Strike(strike) => {
            lock(&gateway.quarantine).strike(now, strike);
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
        members.hear(now, &digest.from, digest.leaving);
        for it in &digest.members {
            members.add(now, it);
        }
    }
    let behind = compare(gateway, digest);
    let news = {
        let mut fleet = lock(&gateway.fleet);
        let peer = rendezvous::member_hash(digest.from.id.as_str());
        fleet.hear_loads(now, peer, &digest.loads);
        fleet.hear_leaving(&digest.leaving_targets);
        if let Some(news) = digest.kept {
            fleet.hear_kept(KeptCache::heard(now, news));
        }
        for it in &digest.prefixes {
            fleet.prefixes.learn(now, &[it.prefix], it.member, it.born);
        }
        digest.weights.iter().fold(false, |news, it| fleet.hear_weights(now, *it) || news)
    };
    if news {
        gateway.believed.notify_waiters();
        gateway.freed.notify_waiters();
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
    let own_control = beliefs.control_mark();
    match digest.control {
        Some((revision, age, mark)) if mark == own_control => {
            beliefs.confirm_control(revision, now.saturating_sub(age));
        }
        Some((revision, ..)) => lag.control = revision < beliefs.control_revision(),
        None => lag.control = beliefs.control_at().is_some(),
    }
    let Some(listing) = beliefs.listing().cloned() else { return lag };
    match digest.listing {
        Some((revision, age, mark)) if mark == listing.mark => {
            let read_at = now.saturating_sub(age);
            beliefs.confirm_listing(revision, read_at);
        }
        Some((revision, ..)) => lag.listing = revision < listing.revision,
        None => lag.listing = true,
    }
    lag
}

fn own_digest<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) -> Digest {
    let now = gateway.now();
    let (config, control, listing) = {
        let beliefs = lock(&gateway.beliefs);
        let config = beliefs.config().map_or(Revision(0), |it| it.revision);
        let control = beliefs.control_at().map(|at| {
            let mark = beliefs.control_mark();
            (beliefs.control_revision(), now.saturating_sub(at), mark)
        });
        let listing = beliefs.listing().map(|it| {
            (it.revision, now.saturating_sub(it.read_at), it.mark)
        });
        (config, control, listing)
    };
    let members = lock(&gateway.members).entries();
    let mut fleet = lock(&gateway.fleet);
    Digest {
        from: gateway.own.clone(),
        leaving: gateway.is_leaving(),
        config,
        control,
        listing,
        loads: fleet.own_loads(),
        weights: fleet.weight_news(),
        kept: fleet.kept.map(|it| it.news(now)),
        prefixes: fleet.take_prefix_news(),
        leaving_targets: fleet.leaving_members(),
        members,
    }
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
