//! The ports: small traits between the decisions and the outside.
//!
//! This crate names what the daemon needs from the platform and from time. It has no
//! implementation of a store; the only code is the system clock.

mod clock;
mod store;
mod target_commands;

pub use clock::{Clock, SystemClock};
pub use store::{
    CommitResult, Member, MemberList, MemberState, ObjectStore, Row, RowChange, RowCondition,
    StoreError, TableStore, Transaction, WeightStore,
};
pub use target_commands::{CommandError, TargetCommands, TargetState};
