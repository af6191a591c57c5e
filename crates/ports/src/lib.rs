//! Interfaces between the routing logic and the outside: clock, platform stores, target commands.
//!
//! This crate declares the traits and their data types. Adapters implement the stores; the only
//! implementation here is the system clock.

mod clock;
mod store;
mod target_commands;

pub use clock::{Clock, SystemClock};
pub use store::{
    CommitResult, Member, MemberList, MemberState, ObjectStore, Row, RowChange, RowCondition,
    StoreError, TableStore, Transaction, WeightStore,
};
pub use target_commands::{CommandError, TargetCommands, TargetState};
