//! Gossip between daemons: sends periodic reports, forwards what others reported, and applies what
//! is newer than this daemon's own state.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexSet;
use policy::rendezvous;

use crate::cold_replicas;
use crate::crash_reports;
use crate::dialect::Dialect;
use crate::directory::{Directory, Snapshot};
use crate::gateway::{Gateway, StateSource, lock};
use crate::hub_reports::{self, SentHubs};
use crate::kv_store::KvStoreView;
use crate::listing_change::ListingUpdate;
use crate::members::{GOSSIP_PERIOD, MemberTable};
use crate::peer_message::{
    DaemonStatus, GossipDirection, GossipExtension, GossipReport, PeerMessage, PrefixPlacement,
    StateDigests,
};
use crate::peer_socket::ReceivedMessage;
use crate::rate_limit;
use crate::recovery_pace;
use crate::request_limits;
use crate::resend_limit::{ResendLimit, WholeState};
use crate::rollouts;
use crate::weight_gossip;

/// The key under which a daemon keeps the loads of all others, as its hub sums them up.
const HUB_SUM_KEY: u64 = 0;
/// One report in this many is a full one, which adds state that changes rarely.
const FULL_REPORT_ROUNDS: u32 = 8;
/// In one of this many rounds, peers are told again of requests that may crash replicas.
const SUSPECT_ROUNDS: u32 = 4;
/// A peer that knows less than one in this many of the daemons known here is sent all of them at
/// once.
const LAGGING_DIVISOR: usize = 2;

/// What to pass on with the next reports, and what peers were sent.
#[derive(Debug, Default)]
pub(crate) struct GossipRelay {
    /// Placed prefixes from the daemons that report to this one as their hub.
    prefixes_from_children: Mutex<Vec<PrefixPlacement>>,
    /// Placed prefixes from other hubs.
    prefixes_from_hubs: Mutex<Vec<PrefixPlacement>>,
    /// The daemons that this one sent a report as their hub in the last round.
    last_children: Mutex<IndexSet<u64>>,
    /// What the other hubs were told of the hubs.
    pub(crate) sent_hubs: Mutex<SentHubs>,
    /// What lagging daemons were sent.
    resend_limit: Mutex<ResendLimit>,
}

/// Sends reports to peers, once a period, until the process ends.
pub(crate) async fn send_reports<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    // A random delay, so that daemons started together do not all send at the same moment.
    tokio::time::sleep(GOSSIP_PERIOD.mul_f64(rand::random())).await;
    let mut round = 0_u32;
    loop {
        let round_start = gateway.now();
        lock(&gateway.quotas).record_alive(round_start);
        send_round(&gateway, round.is_multiple_of(FULL_REPORT_ROUNDS)).await;
        if round.is_multiple_of(SUSPECT_ROUNDS) {
            crash_reports::repeat_reports(&gateway);
        }
        round = round.wrapping_add(1);
        let now = gateway.now();
        lock(&gateway.members).sweep(now);
        lock(&gateway.fleet).sweep(now);
        gateway.connections.close_expired();
        tokio::time::sleep((round_start + GOSSIP_PERIOD).saturating_sub(now)).await;
    }
}

async fn send_round<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, full: bool) {
    let peers = lock(&gateway.members).gossip_peers(gateway.now());
    recovery_pace::send_reports(gateway, &peers.forward_targets(None));
    let own_prefixes = {
        let mut fleet = lock(&gateway.fleet);
        fleet.begin_report_period(gateway.now());
        fleet.take_prefix_placements()
    };
    let relay = &gateway.gossip_relay;
    let mut prefixes = std::mem::take(&mut *lock(&relay.prefixes_from_children));
    let from_hubs = std::mem::take(&mut *lock(&relay.prefixes_from_hubs));
    let children: IndexSet<u64> = peers.child_hashes.iter().copied().collect();
    let last_children = std::mem::replace(&mut *lock(&relay.last_children), children);
    send_report(gateway, &peers.parent, GossipDirection::ToParent, &own_prefixes, full);
    prefixes.extend(own_prefixes);
    send_report(gateway, &peers.hubs, GossipDirection::BetweenHubs, &prefixes, full);
    send_report(gateway, &peers.lost_hubs, GossipDirection::BetweenHubs, &[], full);
    hub_reports::send(gateway, &peers, full);
    prefixes.extend(from_hubs);
    // Spread over the period: a link that gets all of a hub's reports at once drops other
    // datagrams.
    let pause = GOSSIP_PERIOD / (peers.children.len() as u32 + 1);
    for (address, member) in peers.children.iter().zip(&peers.child_hashes) {
        tokio::time::sleep(pause).await;
        let full = full || !last_children.contains(member);
        send_report(gateway, &[*address], GossipDirection::ToChild(*member), &prefixes, full);
    }
}

fn send_report<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    to: &[IpAddr],
    direction: GossipDirection,
    prefixes: &[PrefixPlacement],
    full: bool,
) {
    if !to.is_empty() {
        let now = gateway.now();
        let report = build_report(gateway, now, to, direction, prefixes, full);
        let has_weights = !report.weights.is_empty();
        gateway.peer_socket.send(now, to, &PeerMessage::Gossip(Box::new(report)));
        if has_weights {
            weight_gossip::send_model_weights(gateway, to);
        }
    }
}

/// Reports to peers at once that this daemon is leaving.
pub(crate) fn announce_leaving<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let peers = lock(&gateway.members).gossip_peers(gateway.now());
    send_report(gateway, &peers.parent, GossipDirection::ToParent, &[], false);
    send_report(gateway, &peers.hubs, GossipDirection::BetweenHubs, &[], false);
}

/// Builds a report to the daemons at these addresses. Between two full reports, a child gets only
/// the loads that changed. A full report leaves out what all its receivers have.
fn build_report<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    now: Duration,
    to: &[IpAddr],
    direction: GossipDirection,
    prefixes: &[PrefixPlacement],
    full: bool,
) -> GossipReport {
    let (control, listing) = {
        let view = lock(&gateway.view);
        // A report without the control state is answered with all of it. A hub's children would all
        // do so, and know no more than the other hubs.
        let asks = view.asks_for_ages() && !matches!(direction, GossipDirection::ToChild(_));
        let control = view
            .control_confirmed_at()
            .filter(|_| !asks)
            .map(|at| (view.control_revision(), now.saturating_sub(at), view.control_hash()));
        let listing = view.listing();
        let listing = listing.map(|it| (it.revision, now.saturating_sub(it.read_at), it.hash));
        (control, listing)
    };
    let members = lock(&gateway.members);
    let mut fleet = lock(&gateway.fleet);
    let digests = StateDigests { weights: fleet.weights_digest(), members: members.digest() };
    let (weights_known, members_known) = members.known_to(to, digests);
    let loads_are_changes = !full && matches!(direction, GossipDirection::ToChild(_));
    let mut daemons = vec![DaemonStatus {
        daemon: rendezvous::hash_member(gateway.own.id.as_str()),
        age: Duration::ZERO,
        leaving: gateway.is_leaving(),
        loads: match direction {
            GossipDirection::ToChild(child) if loads_are_changes => {
                fleet.changed_loads_excluding(now, child)
            }
            GossipDirection::ToChild(child) => fleet.loads_excluding(now, child),
            GossipDirection::ToParent | GossipDirection::BetweenHubs => fleet.own_loads(now),
        },
    }];
    let children = members.children(now);
    let (reachable, are_named) = match direction {
        GossipDirection::ToChild(child) => {
            let digest = members.reachable_digest(now);
            (digest, members.has_reachable(child, digest))
        }
        GossipDirection::ToParent | GossipDirection::BetweenHubs => (members.named_digest(), false),
    };
    for (daemon, age, leaving) in members.reachable(now).filter(|_| !are_named) {
        let loads = match direction {
            GossipDirection::ToParent => continue,
            GossipDirection::BetweenHubs if children.contains(&daemon) => fleet.peer_loads(daemon),
            GossipDirection::BetweenHubs => continue,
            // The loads of all daemons are summed up in the sender's entry.
            GossipDirection::ToChild(_) => Vec::new(),
        };
        daemons.push(DaemonStatus { daemon, age, leaving, loads });
    }
    GossipReport {
        sender: gateway.own.clone(),
        direction,
        wants_reply: !members.reaches_any(now),
        known_daemons: u32::try_from(members.known_count()).unwrap_or(u32::MAX),
        control,
        listing,
        daemons,
        weights: if full && !weights_known { fleet.weight_statuses() } else { Vec::new() },
        kv_store: fleet.kv_store.map(|it| it.status(now)),
        prefixes: prefixes.to_vec(),
        leaving_targets: fleet.leaving_replicas(),
        members: if full && !members_known { members.entries() } else { Vec::new() },
        extension: Some(GossipExtension { loads_are_changes, digests, reachable }),
    }
}

/// Forwards the control state after a change, which came from `source` or from the store.
pub(crate) fn forward_control<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: Option<IpAddr>,
) {
    let to = lock(&gateway.members).gossip_peers(gateway.now()).forward_targets(source);
    record_change(gateway, &to, WholeState::Control);
    send_control(gateway, &to);
}

fn record_change<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    to: &[IpAddr],
    state: WholeState,
) {
    let now = gateway.now();
    let mut limit = lock(&gateway.gossip_relay.resend_limit);
    to.iter().for_each(|it| limit.record_change(now, *it, state));
}

/// Forwards an update of the list of replicas, which came from `source` or from the store.
pub(crate) fn forward_listing<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: Option<IpAddr>,
    update: ListingUpdate,
) {
    if update == ListingUpdate::Unchanged {
        return;
    }
    let now = gateway.now();
    let to = lock(&gateway.members).gossip_peers(now).forward_targets(source);
    record_change(gateway, &to, WholeState::Listing);
    match update {
        ListingUpdate::Partial(change) => {
            gateway.peer_socket.send(now, &to, &PeerMessage::ListingChange(change));
        }
        _ => send_listing(gateway, &to),
    }
}

/// Handles messages of peers until the process ends.
pub(crate) async fn receive_loop<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    let mut buffer = Vec::new();
    loop {
        let received = gateway.peer_socket.receive(&gateway.clock, &mut buffer).await;
        handle_message(&gateway, received);
    }
}

fn handle_message<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, received: ReceivedMessage) {
    let now = gateway.now();
    let ReceivedMessage { from, message, sent_at } = received;
    let source = StateSource::Peer(from);
    match message {
        PeerMessage::Gossip(report) => handle_report(gateway, from, sent_at, &report),
        PeerMessage::Control(revision, age, state) => {
            let snapshot = Snapshot { revision, store_time: Duration::ZERO, value: *state };
            let read_at = gateway.evidence_time(sent_at, age);
            let stated_at = sent_at.unwrap_or(now);
            if gateway.apply_control(read_at, stated_at, snapshot, source).any() {
                forward_control(gateway, Some(from));
            }
        }
        PeerMessage::Listing(revision, age, entries) => {
            let snapshot = Snapshot { revision, store_time: Duration::ZERO, value: entries };
            let read_at = gateway.evidence_time(sent_at, age);
            let update = gateway.apply_listing(read_at, snapshot, source);
            forward_listing(gateway, Some(from), update);
        }
        PeerMessage::ListingChange(mut change) => {
            let read_at = gateway.evidence_time(sent_at, change.age);
            if gateway.apply_listing_change(read_at, &change, source) {
                change.age = gateway.now().saturating_sub(read_at);
                forward_listing(gateway, Some(from), ListingUpdate::Partial(change));
            }
        }
        // The socket joins the parts of a message.
        PeerMessage::Part(_) => {}
        PeerMessage::Members(entries) => {
            let mut members = lock(&gateway.members);
            entries.iter().for_each(|it| members.add(now, it));
        }
        PeerMessage::Weights(statuses) => weight_gossip::publish(gateway, &statuses, Some(from)),
        PeerMessage::ModelWeights(statuses) => {
            weight_gossip::publish_models(gateway, &statuses, Some(from));
        }
        PeerMessage::QuotaQuery(query) => rate_limit::answer_query(gateway, from, &query),
        PeerMessage::QuotaReply { query_id, wait } => {
            gateway.peer_socket.complete_query(query_id, wait)
        }
        PeerMessage::Rollouts { sender, reports } => {
            rollouts::handle_reports(gateway, from, sender, &reports);
        }
        PeerMessage::Strike(strike) => crash_reports::merge_strike(gateway, from, strike),
        PeerMessage::Suspects(reports) => {
            crash_reports::merge_reports(gateway, from, sent_at.unwrap_or(now), &reports);
        }
        PeerMessage::Hubs { sender, hubs } => lock(&gateway.members).record_hubs(sender, hubs),
        PeerMessage::ColdReports(reports) => {
            // Without the time of sending, the report may be of any age, and counts as of now: a
            // cold time that is too long does less harm.
            cold_replicas::merge(gateway, from, sent_at.unwrap_or(now), &reports);
        }
        PeerMessage::LimitQuery(query) => request_limits::answer_query(gateway, from, query),
        PeerMessage::RequestLimits(reports) => {
            request_limits::merge(gateway, from, sent_at.unwrap_or(now), &reports);
        }
        PeerMessage::Paces(reports) => {
            recovery_pace::merge(gateway, from, sent_at.unwrap_or(now), &reports);
        }
    }
}

fn handle_report<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    sent_at: Option<Duration>,
    report: &GossipReport,
) {
    let now = gateway.now();
    // Loads and liveness from a daemon whose clock is not known yet count as of now.
    let reported_at = sent_at.unwrap_or(now);
    if report.sender.id == gateway.own.id {
        return;
    }
    let unknown_to_peer = {
        let mut members = lock(&gateway.members);
        let known = report.known_daemons as usize;
        members.record_message(
            now,
            &report.sender,
            known,
            report.direction == GossipDirection::ToParent,
        );
        members.record_extension(&report.sender.id, report.extension);
        for it in &report.members {
            members.add(now, it);
        }
        record_daemons(&mut members, reported_at, report);
        let is_lagging = known < members.known_count() / LAGGING_DIVISOR;
        if is_lagging { members.entries() } else { Vec::new() }
    };
    let lag = compare_state(gateway, sent_at, report);
    let sender = rendezvous::hash_member(report.sender.id.as_str());
    let loads_are_changes = report.extension.is_some_and(|it| it.loads_are_changes);
    {
        let mut fleet = lock(&gateway.fleet);
        for it in &report.daemons {
            match report.direction {
                // The loads of all daemons are summed up in the sender's entry, which may be empty.
                GossipDirection::ToChild(_) if it.daemon == sender && loads_are_changes => {
                    fleet.record_load_changes(reported_at, HUB_SUM_KEY, &it.loads);
                }
                GossipDirection::ToChild(_) if it.daemon == sender => {
                    fleet.record_peer_loads(reported_at, HUB_SUM_KEY, &it.loads);
                }
                GossipDirection::ToChild(_) => {}
                _ => fleet.record_peer_loads(
                    reported_at.saturating_sub(it.age),
                    it.daemon,
                    &it.loads,
                ),
            }
        }
        fleet.apply_leaving(&report.leaving_targets);
        if let Some(status) = report.kv_store {
            fleet.record_kv_store(KvStoreView::from_peer(reported_at, status));
        }
        fleet.record_prefixes(now, &report.prefixes);
        fleet.pause_unresponsive(now);
    }
    cold_replicas::publish(gateway);
    let relay = match report.direction {
        GossipDirection::ToParent => Some(&gateway.gossip_relay.prefixes_from_children),
        GossipDirection::BetweenHubs => Some(&gateway.gossip_relay.prefixes_from_hubs),
        GossipDirection::ToChild(_) => None,
    };
    if let Some(relay) = relay {
        lock(relay).extend_from_slice(&report.prefixes);
    }
    weight_gossip::publish(gateway, &report.weights, Some(from));
    if report.wants_reply {
        send_report(gateway, &[from], GossipDirection::ToChild(sender), &[], true);
    }
    if !unknown_to_peer.is_empty() {
        gateway.peer_socket.send(now, &[from], &PeerMessage::Members(unknown_to_peer));
    }
    let begins = |state| lock(&gateway.gossip_relay.resend_limit).begin(now, from, state);
    if lag.control && begins(WholeState::Control) {
        send_control(gateway, &[from]);
    }
    if lag.listing && begins(WholeState::Listing) {
        send_listing(gateway, &[from]);
    }
}

/// Records which daemons the sender has seen, with ages as of `reported_at`.
fn record_daemons(members: &mut MemberTable, reported_at: Duration, report: &GossipReport) {
    let sender = rendezvous::hash_member(report.sender.id.as_str());
    if let (GossipDirection::ToChild(_), Some(extension)) = (report.direction, report.extension) {
        members.record_alive(
            sender,
            reported_at,
            report.daemons.iter().any(|it| it.leaving && it.daemon == sender),
        );
        let others = report.daemons.iter().filter(|it| it.daemon != sender);
        let others: Vec<_> = others.map(|it| (it.daemon, it.age, it.leaving)).collect();
        members.record_named(reported_at, sender, extension.reachable, &others);
        return;
    }
    let hub = (report.direction == GossipDirection::BetweenHubs).then_some(sender);
    for it in &report.daemons {
        members.record_alive(it.daemon, reported_at.saturating_sub(it.age), it.leaving);
        members.record_covered(it.daemon, hub);
    }
}

/// The parts of the state of which a peer lacks something.
#[derive(Debug, Clone, Copy)]
struct PeerLag {
    control: bool,
    listing: bool,
}

/// Records state that the peer knew to be current at a later time, and finds what the peer lacks.
fn compare_state<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    sent_at: Option<Duration>,
    report: &GossipReport,
) -> PeerLag {
    let mut view = lock(&gateway.view);
    let mut lag = PeerLag { control: false, listing: false };
    match report.control {
        Some((revision, age, hash)) if hash == view.control_hash() => {
            view.confirm_control(revision, gateway.evidence_time(sent_at, age));
        }
        Some((revision, ..)) => {
            lag.control = revision < view.control_revision() || view.is_ahead();
        }
        None => lag.control = view.control_confirmed_at().is_some(),
    }
    let Some(listing) = view.listing() else { return lag };
    match report.listing {
        Some((revision, age, hash)) if hash == listing.hash => {
            view.confirm_listing(revision, gateway.evidence_time(sent_at, age));
        }
        Some((revision, ..)) => lag.listing = revision < listing.revision,
        None => lag.listing = true,
    }
    lag
}

fn send_control<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let now = gateway.now();
    let message = {
        let view = lock(&gateway.view);
        let Some(at) = view.control_confirmed_at() else { return };
        let age = now.saturating_sub(at);
        PeerMessage::Control(view.control_revision(), age, Box::new(view.control(now)))
    };
    gateway.peer_socket.send(now, to, &message);
}

fn send_listing<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let now = gateway.now();
    let message = {
        let view = lock(&gateway.view);
        let Some(listing) = view.listing() else { return };
        let age = now.saturating_sub(listing.read_at);
        PeerMessage::Listing(listing.revision, age, listing.entries.to_vec())
    };
    gateway.peer_socket.send(now, to, &message);
    cold_replicas::send_all(gateway, to);
}
