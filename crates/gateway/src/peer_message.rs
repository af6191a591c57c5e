//! Messages between daemons, sent as UDP datagrams in `bincode`. Each one is complete in itself, so
//! that the next one makes up for a lost one.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{CustomerId, PoolId, Revision, TargetId};
use policy::cold_pace::ColdEvidence;
use policy::crash_suspects::SuspectReport;
use policy::quarantine::Strike;
use policy::release_history::ReleaseHistory;
use policy::rollout_stage::RolloutStage;
use policy::rollout_trial::RouteEvidence;
use policy::silence::AnswerCount;
use serde::{Deserialize, Serialize};

use crate::config::{ControlState, SiteConfig, TargetEntry};
use crate::control_extension::{CONTROL_EXTENSION_MARK, ControlExtension};
use crate::directory::MemberEntry;
use crate::message_parts::{MAX_MESSAGE_BYTES, MessagePart};
use crate::message_stamp::MessageStamp;
use crate::recovery_pace::ReplicaPaceReport;
use crate::replica::LoadCount;

/// The requests of one or several daemons on one replica, in the compact form sent to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The hash of the replica's id (`rendezvous::hash_member`).
    pub member: u64,
    running: u32,
    pending_tokens: u32,
    kv_tokens: u32,
    answered: u32,
    failed: u32,
}

impl TargetLoad {
    /// Converts a load; counts beyond `u32` are capped.
    pub fn new(member: u64, load: LoadCount) -> TargetLoad {
        let saturate = |it: u64| u32::try_from(it).unwrap_or(u32::MAX);
        TargetLoad {
            member,
            running: load.running,
            pending_tokens: saturate(load.pending_tokens),
            kv_tokens: saturate(load.kv_tokens),
            answered: load.answers.answered,
            failed: load.answers.failed,
        }
    }

    /// Converts back to a load.
    pub fn load(&self) -> LoadCount {
        LoadCount {
            running: self.running,
            pending_tokens: u64::from(self.pending_tokens),
            kv_tokens: u64::from(self.kv_tokens),
            answers: AnswerCount { answered: self.answered, failed: self.failed },
        }
    }
}

/// What a daemon knows of a replica's weights. Of a replica with several models, it holds the highest
/// versions of all, and only `accepted` is read; daemons of the version before read all of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStatus {
    /// The hash of the replica's id (`rendezvous::hash_member`).
    pub member: u64,
    /// The incarnation of the replica: the start of its process in Unix milliseconds.
    pub incarnation: u64,
    /// The version that it has loaded.
    pub loaded: u64,
    /// The newest version that it was commanded to load.
    pub commanded: u64,
    /// Number of load commands that it has accepted since its start.
    pub accepted: u64,
}

/// What a daemon knows of the weights of one of several models on a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelWeightStatus {
    /// The hash of the replica's id (`rendezvous::hash_member`).
    pub member: u64,
    /// The incarnation of the replica: the start of its process in Unix milliseconds.
    pub incarnation: u64,
    /// The model.
    pub model: Box<str>,
    /// The version of it that the replica has loaded.
    pub loaded: u64,
    /// The newest version of it that the replica was commanded to load.
    pub commanded: u64,
}

/// A replica was sent a prompt and will hold this prefix of it in its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixPlacement {
    /// The hash of the prefix, computed under its salt.
    pub prefix: u64,
    /// The hash of the replica's id (`rendezvous::hash_member`).
    pub member: u64,
    /// The replica's incarnation.
    pub incarnation: u64,
}

/// The result of the latest probe of a KV store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStoreStatus {
    /// The address that was probed.
    pub address: SocketAddr,
    /// The epoch that it reported; `None` if it did not answer.
    pub epoch: Option<u64>,
    /// The age of the result when the message was sent.
    pub age: Duration,
}

/// One daemon's status and load, as reported by itself or passed on by a hub.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The hash of the daemon's id (`rendezvous::hash_member`).
    pub daemon: u64,
    /// The age of the status when the message was sent.
    pub age: Duration,
    /// The daemon is shutting down and accepts no more callers.
    pub leaving: bool,
    /// Its requests by replica; replicas without load are left out. In a report to a child, see
    /// [`GossipDirection::ToChild`].
    pub loads: Vec<TargetLoad>,
}

/// The direction of a report in the tree of hubs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipDirection {
    /// To the sender's hub; covers the sender only.
    ToParent,
    /// Between hubs; covers the sender and the daemons that report to it.
    BetweenHubs,
    /// From a hub to the daemon with this hash; covers all daemons, with the loads of all but the
    /// receiver summed up in the sender's entry.
    ToChild(u64),
}

/// The state that a daemon sends to its gossip peers once a period.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipReport {
    /// The daemon that sends the report.
    pub sender: MemberEntry,
    /// The direction, which decides whose status it covers.
    pub direction: GossipDirection,
    /// The sender reaches no other daemon yet and asks for a report in return.
    pub wants_reply: bool,
    /// Number of daemons that the sender knows, itself included.
    pub known_daemons: u32,
    /// The sender's control state: its revision in the store, the time since it was known to be
    /// current, and its hash.
    pub control: Option<(Revision, Duration, u64)>,
    /// The sender's list of replicas: its revision in the store, the time since it was known to be
    /// current, and its hash.
    pub listing: Option<(Revision, Duration, u64)>,
    /// Status and load of the daemons that the report covers, the sender first.
    pub daemons: Vec<DaemonStatus>,
    /// What the sender knows of replicas' weights; only in full reports.
    pub weights: Vec<WeightStatus>,
    /// The newest probe of the KV store, by the sender or by a peer.
    pub kv_store: Option<KvStoreStatus>,
    /// Prefixes placed since the sender's last report.
    pub prefixes: Vec<PrefixPlacement>,
    /// Replicas known to be leaving: the hashes of their ids and their incarnations. A replica that
    /// restarts under the same id has another incarnation and is not leaving.
    pub leaving_targets: Vec<(u64, u64)>,
    /// The daemons that the sender knows; only in full reports.
    pub members: Vec<MemberEntry>,
    /// Sent behind the report, where daemons that do not know it ignore it.
    #[serde(skip)]
    pub extension: Option<GossipExtension>,
}

/// What lets a report leave out state that its receiver has already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipExtension {
    /// The loads in the sender's entry are those that changed since its last report to this
    /// receiver, rather than all.
    pub loads_are_changes: bool,
    /// What the sender knows, so that the receiver leaves out what is equal.
    pub digests: StateDigests,
    /// In a report to a child, the digest of the daemons that the hub reaches; they are left out if
    /// the child has them. In a report to a hub, the digest of those that the hub named last.
    pub reachable: u64,
}

/// Digests of a daemon's state, equal where the state is equal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigests {
    /// Of what it knows of replicas' weights.
    pub weights: u64,
    /// Of the daemons that it knows.
    pub members: u64,
}

/// The replicas that differ between two lists. Entries of a list are in the order of their ids.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListingChange {
    /// The hash of the list before the change.
    pub base: u64,
    /// The hash of the list after it.
    pub hash: u64,
    /// The revision of the list after it.
    pub revision: Revision,
    /// The age of the list after it when the message was sent.
    pub age: Duration,
    /// Entries that are new or different.
    pub changed: Vec<TargetEntry>,
    /// Replicas that are not listed any more.
    pub removed: Vec<TargetId>,
}

/// How far a rollout is, as far as the sender knows, and its evidence about the new release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The pool whose traffic moves.
    pub pool: PoolId,
    /// The revision of the operator's row.
    pub order: Revision,
    /// `None` if the sender does not know it yet.
    pub stage: Option<RolloutStage>,
    /// Outcomes of requests: those of the daemons that the report covers, by its direction in the
    /// tree of hubs.
    pub evidence: Vec<RouteEvidence>,
    /// What came of earlier rollouts of the pool. Sent behind the message, where daemons of the version
    /// before ignore it.
    #[serde(skip)]
    pub history: ReleaseHistory,
}

/// Asks the daemon that keeps a customer's bucket for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaQuery {
    /// A random number that matches the reply to the query. A repeated query keeps it, so that it
    /// is charged once.
    pub query_id: u64,
    /// The customer whose rate is charged.
    pub customer: CustomerId,
    /// The number of tokens to take.
    pub tokens: u64,
    /// The customer's home did not answer, and the receiver is asked in its place.
    pub substitute: bool,
}

/// Asks the daemon that keeps the tokens of a replica for one request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitQuery {
    /// A random number that matches the reply to the query; a repeated query keeps it.
    pub query_id: u64,
    /// The digest of the replica's process (`ReplicaProcess::digest`).
    pub process: u64,
    /// The requests per second that the replica takes.
    pub per_s: f64,
}

/// The limit that a replica named, or that it named none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestLimitReport {
    /// The hash of the replica's id (`rendezvous::hash_member`).
    pub member: u64,
    /// The replica's incarnation.
    pub incarnation: u64,
    /// Requests per second from all daemons together; `None` without a limit.
    pub per_s: Option<f64>,
    /// How long ago the replica answered so when the message was sent.
    pub age: Duration,
}

/// What is known of a replica that is or may be cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The hash of the replica's id (`rendezvous::hash_member`).
    pub member: u64,
    /// The replica's incarnation.
    pub incarnation: u64,
    /// What was learned.
    pub evidence: ColdEvidence,
    /// How long ago, when the message was sent.
    pub age: Duration,
}

/// The content of one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The periodic report.
    Gossip(Box<GossipReport>),
    /// The control state: its revision in the store and its age.
    Control(Revision, Duration, Box<ControlState>),
    /// The list of replicas: its revision in the store and its age.
    Listing(Revision, Duration, Vec<TargetEntry>),
    /// Known daemons, for a peer that knows only few of them.
    Members(Vec<MemberEntry>),
    /// Changes of replicas' weights, sent at once rather than with the next full report.
    Weights(Vec<WeightStatus>),
    /// Asks the home of a customer for tokens of its rate.
    QuotaQuery(QuotaQuery),
    /// The answer to a query: the tokens are granted, or how long to wait for them.
    QuotaReply {
        /// The id of the query.
        query_id: u64,
        /// The time until the tokens will be there; `None` if they are granted.
        wait: Option<Duration>,
    },
    /// A replica crashed while it ran the request with this fingerprint. Only daemons of the version
    /// before send it.
    Strike(Strike),
    /// A part of a message that is longer than a datagram.
    Part(MessagePart),
    /// The part of the list of replicas that changed.
    ListingChange(ListingChange),
    /// The rollouts that are not over yet.
    Rollouts {
        /// The hash of the sender's id (`rendezvous::hash_member`).
        sender: u64,
        /// One for each rollout.
        reports: Vec<RolloutReport>,
    },
    /// Requests and prompt parts that may crash replicas.
    Suspects(Vec<SuspectReport>),
    /// Asks for a token of a replica that limits its requests; answered by `QuotaReply`.
    LimitQuery(LimitQuery),
    /// Limits that replicas named or lifted.
    RequestLimits(Vec<RequestLimitReport>),
    /// What a hub takes for the hubs of the fleet; sent between hubs.
    Hubs {
        /// The hash of the sender's id (`rendezvous::hash_member`).
        sender: u64,
        /// The hashes of the hubs' ids.
        hubs: Box<[u64]>,
    },
    /// Replicas that are or may be cold; only of pools whose configuration limits the requests to cold
    /// replicas. Daemons of the version before ignore it.
    ColdReports(Vec<ColdReport>),
    /// Paces of replicas that start or recover; only sent while pacing is on.
    Paces(Vec<ReplicaPaceReport>),
    /// Weights of replicas with several models, beside [`PeerMessage::Weights`] and full reports.
    /// Daemons of the version before ignore it.
    ModelWeights(Vec<ModelWeightStatus>),
}

impl PeerMessage {
    /// What kind of message it is, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Gossip(report) => match report.direction {
                GossipDirection::ToParent => "report_to_hub",
                GossipDirection::BetweenHubs => "report_between_hubs",
                GossipDirection::ToChild(_) => "report_to_child",
            },
            PeerMessage::Control(..) => "control",
            PeerMessage::Listing(..) => "listing",
            PeerMessage::Members(_) => "members",
            PeerMessage::Weights(_) => "weights",
            PeerMessage::QuotaQuery(_) => "quota_query",
            PeerMessage::QuotaReply { .. } => "quota_reply",
            PeerMessage::Strike(_) => "strike",
            PeerMessage::Part(_) => "part",
            PeerMessage::ListingChange(_) => "listing_change",
            PeerMessage::Rollouts { .. } => "rollouts",
            PeerMessage::Suspects(_) => "suspects",
            PeerMessage::LimitQuery(_) => "limit_query",
            PeerMessage::RequestLimits(_) => "request_limits",
            PeerMessage::Hubs { .. } => "hubs",
            PeerMessage::ColdReports(_) => "cold_reports",
            PeerMessage::Paces(_) => "paces",
            PeerMessage::ModelWeights(_) => "model_weights",
        }
    }
}

/// Longest datagram in bytes; UDP over IPv4 carries at most 65 507.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Limit of the decoder, which counts integers and lengths by their size in memory: up to eight
/// bytes for one on the wire.
const MAX_DECODED_BYTES: usize = 9 * MAX_DATAGRAM_BYTES;

/// The same for messages that came in parts.
const MAX_DECODED_MESSAGE_BYTES: usize = 9 * MAX_MESSAGE_BYTES;

/// Encodes a message; `None` if it cannot be encoded.
pub fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    let config = bincode::config::standard();
    let mut bytes = bincode::serde::encode_to_vec(message, config).ok()?;
    let extension = match message {
        PeerMessage::Gossip(report) => match &report.extension {
            Some(it) => bincode::serde::encode_to_vec(it, config).ok()?,
            None => Vec::new(),
        },
        PeerMessage::Control(_, _, state) => {
            let mut extension =
                bincode::serde::encode_to_vec(&state.superseded_weights, config).ok()?;
            extension.extend(ControlExtension::encode(state)?);
            extension
        }
        _ => Vec::new(),
    };
    bytes.extend(extension);
    Some(bytes)
}

/// Encodes what is sent behind a message and its stamp, where daemons that do not know it ignore it;
/// empty for most messages.
pub fn encode_tail(message: &PeerMessage) -> Vec<u8> {
    let config = bincode::config::standard();
    let tail = match message {
        PeerMessage::Control(_, _, state) => {
            let rules = state.config.as_ref().map(SiteConfig::cold_rules).unwrap_or_default();
            (!rules.is_empty()).then(|| bincode::serde::encode_to_vec(&rules, config))
        }
        PeerMessage::Rollouts { reports, .. } => {
            let histories: Vec<&ReleaseHistory> = reports.iter().map(|it| &it.history).collect();
            let has_any = histories.iter().any(|it| !it.is_empty());
            has_any.then(|| bincode::serde::encode_to_vec(&histories, config))
        }
        _ => None,
    };
    tail.and_then(Result::ok).unwrap_or_default()
}

/// Decodes a datagram and the stamp behind it, if there is one; `None` if the bytes are not a valid
/// message.
pub fn decode(bytes: &[u8]) -> Option<(PeerMessage, Option<MessageStamp>)> {
    decode_limited::<MAX_DECODED_BYTES>(bytes, true)
}

/// Decodes a message that came in parts, each of which has the stamp; `None` if the bytes are not a
/// valid message.
pub fn decode_joined(bytes: &[u8]) -> Option<PeerMessage> {
    decode_limited::<MAX_DECODED_MESSAGE_BYTES>(bytes, false).map(|it| it.0)
}

/// Without a limit the decoder reserves memory for any length that a message claims, and the
/// process is aborted if there is not as much.
fn decode_limited<const LIMIT: usize>(
    bytes: &[u8],
    is_stamped: bool,
) -> Option<(PeerMessage, Option<MessageStamp>)> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let (mut message, length) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    let mut rest = &bytes[length..];
    match &mut message {
        PeerMessage::Gossip(report) => {
            if let Ok((extension, length)) = bincode::serde::decode_from_slice(rest, config) {
                report.extension = Some(extension);
                rest = &rest[length..];
            }
        }
        PeerMessage::Control(_, _, state) => {
            if let Ok((superseded, length)) = bincode::serde::decode_from_slice(rest, config) {
                state.superseded_weights = superseded;
                rest = &rest[length..];
            }
            if let Some((&CONTROL_EXTENSION_MARK, extended)) = rest.split_first() {
                let (extension, length): (ControlExtension, usize) =
                    bincode::serde::decode_from_slice(extended, config).ok()?;
                extension.apply(state);
                rest = &extended[length..];
            }
        }
        _ => {}
    }
    let stamp = match bincode::serde::decode_from_slice(rest, config) {
        Ok((stamp, length)) if is_stamped => {
            rest = &rest[length..];
            Some(stamp)
        }
        _ => None,
    };
    match &mut message {
        PeerMessage::Control(_, _, state) => {
            if let Some(site) = &mut state.config
                && let Ok((rules, _)) = bincode::serde::decode_from_slice(rest, config)
            {
                site.set_cold_rules(rules);
            }
        }
        PeerMessage::Rollouts { reports, .. } => {
            let histories: Vec<ReleaseHistory> =
                bincode::serde::decode_from_slice(rest, config).map_or(Vec::new(), |it| it.0);
            reports.iter_mut().zip(histories).for_each(|(report, it)| report.history = it);
        }
        _ => {}
    }
    Some((message, stamp))
}
