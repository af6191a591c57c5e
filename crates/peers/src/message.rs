//! The messages.

use ids::{CustomerId, Incarnation, InstanceId, KeyDigest, MoveId, PoolId, Revision};
use policy::chain::ChainHash;
use policy::claim::AttemptStatus;
use policy::quarantine::{Fingerprint, Strike};
use policy::spend_guard::PeerReport;
use serde::{Deserialize, Serialize};

/// The version of the messages; daemons of another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Who opens a connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the messages.
    pub protocol: u32,
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// A random number for the other side's proof.
    pub nonce: u64,
}

/// A message to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Opens a connection.
    Hello(Hello),
    /// Proves knowledge of the shared secret.
    Prove {
        /// The proof over the challenge.
        proof: [u8; 32],
    },
    /// Takes tokens from the peer's part of a customer's rate.
    TakeTokens {
        /// The customer.
        customer: CustomerId,
        /// Tokens wanted.
        tokens: u64,
        /// Fewer than this are of no use.
        minimum: u64,
        /// Names what is taken, for a refund.
        ticket: u64,
    },
    /// Gives back tokens that were taken and not used.
    RefundTokens {
        /// What was taken.
        ticket: u64,
        /// Tokens not used.
        tokens: u64,
    },
    /// Asks about an attempt that this peer claimed.
    GetAttemptStatus {
        /// The attempt.
        attempt: Box<str>,
        /// The life in which it was claimed.
        incarnation: Incarnation,
    },
    /// Asks whether the sender still holds its parts, and says how far its catalog is.
    Ping {
        /// The sender's catalog.
        catalog: Revision,
        /// The revision of the row of parts that the sender goes by.
        shares_revision: Option<Revision>,
    },
    /// Asks for the catalog if it is newer than this.
    GetCatalog {
        /// What the sender has.
        after: Revision,
    },
    /// Tells of an accepted change.
    CatalogChanged {
        /// The catalog's revision after it.
        revision: Revision,
        /// The change, as JSON.
        change: Box<str>,
    },
    /// Tells of a key that is withdrawn, whether or not the table has accepted it yet.
    BlockKey(KeyDigest),
    /// Tells that the new version of a move is bad.
    VersionFault {
        /// The pool.
        pool: PoolId,
        /// The move.
        id: MoveId,
    },
    /// Tells of crashes.
    Strikes(Vec<Strike>),
    /// Asks for a turn of a struck request on one of these replicas.
    ReserveReplica {
        /// The request.
        fingerprint: Fingerprint,
        /// Replicas that may get it, by the hashes of their ids.
        members: Vec<u64>,
    },
    /// Gives a turn back.
    ReleaseReplica {
        /// The request.
        fingerprint: Fingerprint,
        /// The replica.
        member: u64,
    },
    /// Asks for what helps a daemon that has just started.
    GetSnapshot,
}

/// A peer's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The answer to a hello: who answers, its proof, and its challenge.
    Challenge {
        /// The life of who answers.
        incarnation: Incarnation,
        /// The proof over the hello's nonce.
        proof: [u8; 32],
        /// A random number for the sender's proof.
        nonce: u64,
    },
    /// Tokens taken; 0 if there were too few.
    Taken {
        /// How many.
        tokens: u64,
        /// When to ask again, if that can help.
        retry_after_ms: Option<u64>,
    },
    /// The peer holds no part of this customer's rate that it may spend.
    NotHolder,
    /// What the peer knows of an attempt.
    Attempt(AttemptStatus),
    /// The answer to a ping.
    Pong {
        /// Whether the sender still holds its parts.
        report: PeerReport,
        /// The peer's catalog.
        catalog: Revision,
        /// The row of parts and its revision, if it is newer than the sender's.
        shares: Option<(Revision, Box<str>)>,
    },
    /// The peer's catalog as JSON, if it is newer.
    Catalog(Option<Box<str>>),
    /// The replica of a turn; none if other suspects run on all of them.
    ReservedReplica(Option<u64>),
    /// What helps a daemon that has just started.
    Snapshot(PeerSnapshot),
    /// Done.
    Done,
    /// The message was refused.
    Refused(Box<str>),
}

/// What helps a daemon that has just started.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PeerSnapshot {
    /// The hottest prefixes of each pool with their heat.
    pub hottest: Vec<(PoolId, Vec<(ChainHash, f64)>)>,
    /// Known crashes.
    pub strikes: Vec<Strike>,
    /// Keys withdrawn ahead of the catalog.
    pub blocked: Vec<KeyDigest>,
}
