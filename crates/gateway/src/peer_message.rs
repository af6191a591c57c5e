//! Messages between daemons: datagrams in `bincode`. Each stands for itself; a lost one is
//! made good by the next.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{CustomerId, Revision};
use policy::quarantine::Strike;
use policy::silence::AnswerCount;
use serde::{Deserialize, Serialize};

use crate::config::{ControlState, TargetEntry};
use crate::directory::MemberEntry;
use crate::replica::LoadCount;

/// This daemon's requests on one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The hash of the replica's id.
    pub member: u64,
    running: u32,
    pending_tokens: u32,
    kv_tokens: u32,
    answered: u32,
    failed: u32,
}

impl TargetLoad {
    /// The load on a replica.
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

    /// The load itself.
    pub fn load(&self) -> LoadCount {
        LoadCount {
            running: self.running,
            pending_tokens: u64::from(self.pending_tokens),
            kv_tokens: u64::from(self.kv_tokens),
            answers: AnswerCount { answered: self.answered, failed: self.failed },
        }
    }
}

/// What is known of a replica's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStatus {
    /// The hash of the replica's id.
    pub member: u64,
    /// Its start.
    pub incarnation: u64,
    /// The version it has.
    pub loaded: u64,
    /// The newest version it was ordered to load.
    pub ordered: u64,
    /// Orders that it has accepted.
    pub accepted: u64,
}

/// A replica was sent a prompt and will hold its beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixPlacement {
    /// The digest of the beginning under its salt.
    pub prefix: u64,
    /// The hash of the replica's id.
    pub member: u64,
    /// The replica's start.
    pub incarnation: u64,
}

/// How a KV store was last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvStoreStatus {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its life; `None` if it did not answer.
    pub epoch: Option<u64>,
    /// How long ago that was.
    pub age: Duration,
}

/// One daemon's own requests, as told by itself or through a hub.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The hash of the daemon's id.
    pub daemon: u64,
    /// How long ago it said so.
    pub age: Duration,
    /// It takes no more callers.
    pub leaving: bool,
    /// Its requests on replicas.
    pub loads: Vec<TargetLoad>,
}

/// Which way a digest goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipDirection {
    /// To the sender's hub: about the sender.
    ToParent,
    /// Between hubs: about the sender and those that take it for their hub.
    BetweenHubs,
    /// From a hub to the daemon with this hash: about everyone, with the loads of all others
    /// summed up.
    ToChild(u64),
}

/// What a daemon tells again and again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipReport {
    /// The sender.
    pub sender: MemberEntry,
    /// Which way it goes.
    pub direction: GossipDirection,
    /// The sender hears nobody yet and asks for an answer.
    pub wants_reply: bool,
    /// Daemons that the sender knows itself, with itself.
    pub known_daemons: u32,
    /// Its orders: the store's revision, how long ago that was the newest, and their digest.
    pub control: Option<(Revision, Duration, u64)>,
    /// Its listing: the store's revision, how long ago that was the newest, and its digest.
    pub listing: Option<(Revision, Duration, u64)>,
    /// Daemons and their requests.
    pub daemons: Vec<DaemonStatus>,
    /// What it knows of weights; not in every digest.
    pub weights: Vec<WeightStatus>,
    /// The KV store, as it saw it or heard of it.
    pub kv_store: Option<KvStoreStatus>,
    /// Prompts placed since its last digest.
    pub prefixes: Vec<PrefixPlacement>,
    /// Replicas that it knows to be leaving: the hashes of their ids, and their starts. One that
    /// comes back under its id does not leave.
    pub leaving_targets: Vec<(u64, u64)>,
    /// The daemons it knows; not in every digest.
    pub members: Vec<MemberEntry>,
}

/// Asks for tokens of a customer's rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaQuery {
    /// Tells answers apart.
    pub query_id: u64,
    /// The customer.
    pub customer: CustomerId,
    /// How many.
    pub tokens: u64,
    /// The customer's home is silent, and the receiver is asked in its place.
    pub substitute: bool,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's state.
    Gossip(Box<GossipReport>),
    /// The orders of operators, at this revision of the store and this old.
    Control(Revision, Duration, Box<ControlState>),
    /// The replicas listed, at this revision of the store and this old.
    Listing(Revision, Duration, Vec<TargetEntry>),
    /// Daemons, for a peer that knows few of them.
    Members(Vec<MemberEntry>),
    /// News of weights, passed on at once.
    Weights(Vec<WeightStatus>),
    /// Asks the home of a customer for tokens.
    QuotaQuery(QuotaQuery),
    /// The answer: granted, or how long to wait.
    QuotaReply {
        /// The question's ticket.
        query_id: u64,
        /// `None` if granted.
        wait: Option<Duration>,
    },
    /// A request crashed a replica.
    Strike(Strike),
}

/// A message as bytes; `None` if it cannot be written.
pub fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).ok()
}

/// A message from bytes; `None` if they are none.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|it| it.0)
}
