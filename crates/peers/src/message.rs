//! The messages between daemons.
//!
//! bincode writes variants and fields by position: a change of their order or number needs a new
//! [`PROTOCOL_VERSION`].

use ids::{CustomerId, Incarnation, InstanceId, KeyDigest, MoveId, PoolId, Revision};
use policy::chain::ChainHash;
use policy::claim::AttemptStatus;
use policy::quarantine::{Fingerprint, Strike};
use policy::spend_guard::PeerReport;
use serde::{Deserialize, Serialize};

/// The version of the messages. A daemon refuses connections of any other version.
pub const PROTOCOL_VERSION: u32 = 1;

/// The first message of a connection: who opens it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u32,
    /// The instance that opens the connection.
    pub instance: InstanceId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// A random number that the other side's proof must cover.
    pub nonce: u64,
}

/// A message to a peer. Each is answered by one [`PeerResponse`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Opens a connection; answered by a challenge.
    Hello(Hello),
    /// Proves that the sender knows the shared secret.
    Prove {
        /// The proof over the nonces of the hello and the challenge.
        proof: [u8; 32],
    },
    /// Takes tokens from the peer's share of a customer's rate.
    TakeTokens {
        /// The customer whose rate is charged.
        customer: CustomerId,
        /// The most tokens to take.
        tokens: u64,
        /// The fewest tokens that are of use; if fewer are left, none are taken.
        minimum: u64,
        /// Identifies this take in a later refund; random. A repeated ticket takes nothing.
        ticket: u64,
    },
    /// Returns tokens that were taken and not used.
    RefundTokens {
        /// The ticket of the take.
        ticket: u64,
        /// The tokens that are returned.
        tokens: u64,
    },
    /// Asks for the status of an attempt for which this peer wrote the claim.
    GetAttemptStatus {
        /// The id of the attempt.
        attempt: Box<str>,
        /// The peer's incarnation that wrote the claim.
        incarnation: Incarnation,
    },
    /// Asks whether the sender still holds its quota shares, and reports its catalog's revision.
    Ping {
        /// The revision of the sender's catalog.
        catalog: Revision,
        /// The revision of the share row that the sender works from.
        shares_revision: Option<Revision>,
    },
    /// Asks for the catalog if the peer has a newer one.
    GetCatalog {
        /// The revision of the sender's catalog.
        after: Revision,
    },
    /// Reports an accepted change of the catalog.
    CatalogChanged {
        /// The catalog's revision after the change.
        revision: Revision,
        /// The change, as JSON.
        change: Box<str>,
    },
    /// Reports a withdrawn key, also if the table has not accepted the withdrawal yet.
    BlockKey(KeyDigest),
    /// Reports that the new version of a move must be rolled back.
    VersionFault {
        /// The pool whose version is moved.
        pool: PoolId,
        /// The id of the move.
        id: MoveId,
    },
    /// Reports crashes of replicas and the requests that were running on them.
    Strikes(Vec<Strike>),
    /// Asks for an isolation reservation: one of these replicas for a suspect request alone.
    ReserveReplica {
        /// The suspect request.
        fingerprint: Fingerprint,
        /// The replicas to choose from, as hashes of their ids.
        members: Vec<u64>,
    },
    /// Releases an isolation reservation.
    ReleaseReplica {
        /// The suspect request.
        fingerprint: Fingerprint,
        /// The reserved replica, as the hash of its id.
        member: u64,
    },
    /// Asks for state that a daemon needs when it starts.
    GetSnapshot,
}

/// A peer's answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The answer to a hello: the peer's own proof, and the nonce for the sender's proof.
    Challenge {
        /// The incarnation of the process that answers.
        incarnation: Incarnation,
        /// The peer's proof over both nonces.
        proof: [u8; 32],
        /// A random number that the sender's proof must cover.
        nonce: u64,
    },
    /// The result of a take.
    Taken {
        /// The tokens taken; 0 if fewer than the minimum were left.
        tokens: u64,
        /// Milliseconds after which to ask again; `None` if waiting does not help.
        retry_after_ms: Option<u64>,
    },
    /// The peer holds no share of this customer's rate that it may spend.
    NotHolder,
    /// The status of the attempt that was asked about.
    Attempt(AttemptStatus),
    /// The answer to a ping.
    Pong {
        /// Whether the sender still holds its quota shares.
        report: PeerReport,
        /// The revision of the peer's catalog.
        catalog: Revision,
        /// The share row and its revision, if it is newer than the sender's.
        shares: Option<(Revision, Box<str>)>,
    },
    /// The peer's catalog as JSON, if it is newer than the sender's.
    Catalog(Option<Box<str>>),
    /// The replica that was reserved, as the hash of its id; `None` if all are reserved for other
    /// suspects, or if another copy of the request holds a reservation.
    ReservedReplica(Option<u64>),
    /// State for a daemon that has just started.
    Snapshot(PeerSnapshot),
    /// The message was handled and has no further answer.
    Done,
    /// The message was refused, for the given reason.
    Refused(Box<str>),
}

/// State of the peer from which a daemon that has just started continues.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PeerSnapshot {
    /// The most requested prefixes of each pool, with their request rates.
    pub hottest: Vec<(PoolId, Vec<(ChainHash, f64)>)>,
    /// Crashes on record, for the quarantine.
    pub strikes: Vec<Strike>,
    /// Keys whose withdrawal the catalog does not show yet.
    pub blocked: Vec<KeyDigest>,
}
