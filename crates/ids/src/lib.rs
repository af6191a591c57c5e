//! Newtypes for ids, sizes and rates, and the closed list of error kinds.
//!
//! This crate is the shared vocabulary. It is not a place for behaviour: it never does IO,
//! knows no runtime and reads no clock.

mod error_kind;
mod key_digest;
mod number;
mod text_id;

pub use error_kind::{ErrorAnswer, ErrorKind, Refusal, RunState, error_answer};
pub use key_digest::KeyDigest;
pub use number::{Incarnation, Millionths, Revision, TokenCount, TokenRate, VersionNumber};
pub use text_id::{
    CustomerId, FailureDomain, IdError, InstanceId, KeyId, MoveId, PoolId, RequestId, RouteId,
    TargetId,
};
