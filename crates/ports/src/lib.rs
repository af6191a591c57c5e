//! The ports: small traits between the decisions and the outside.
//!
//! This crate names what the daemon needs from the platform and from time. It has no
//! implementation of a store; the only code is the system clock.

mod clock;
mod orders;
mod store;

pub use clock::{Clock, SystemClock};
pub use orders::{OrderFault, Orders, TargetState};
pub use store::{
    Change, Commit, Condition, Member, MemberList, MemberState, Objects, Row, StoreError, Table,
    Transaction, Weights,
};
