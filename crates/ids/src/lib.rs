//! Newtypes for ids, sizes and rates, and the closed list of error kinds.
//!
//! These types are shared by all crates. This crate does no IO, uses no async runtime and reads no
//! clock.

mod error_kind;
mod key_digest;
mod number;
mod request_rate;
mod text_id;

pub use error_kind::{ErrorAnswer, ErrorKind, Refusal, RunState, error_answer};
pub use key_digest::KeyDigest;
pub use number::{
    Incarnation, Millionths, Revision, StoreEra, TokenCount, TokenRate, VersionNumber,
};
pub use request_rate::{RequestRate, RequestRateError};
pub use text_id::{
    CustomerId, FailureDomain, IdError, InstanceId, KeyId, MoveId, PoolId, RequestId, RouteId,
    TargetId,
};
