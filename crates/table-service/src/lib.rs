//! Adapters to the platform's services over HTTP: list, table, objects, weight store.
//!
//! This crate speaks the platform's protocol (docs/design/platform-protocol.md) and reports
//! whether a call may have taken effect. It keeps no state and decides nothing beyond repeating
//! a read within its deadline.

mod http_store;

pub use http_store::{PlatformAddress, PlatformClient};

/// Bodies of the platform's protocol.
pub mod wire {
    use ids::Revision;
    use ports::{CommitResult, Member, Row};
    use serde::{Deserialize, Serialize};

    /// Asks for rows.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct ScanRequest {
        /// Their keys start with this.
        pub prefix: Box<str>,
        /// Their keys sort after this.
        pub after: Box<str>,
        /// At most this many.
        pub limit: usize,
    }

    /// Asks for one row.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct ReadRequest {
        /// Its key.
        pub key: Box<str>,
    }

    /// Rows found, in key order.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct RowsAnswer {
        /// The rows.
        pub rows: Vec<Row>,
        /// The table's revision.
        pub revision: Revision,
    }

    /// The end of a transaction.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct CommitAnswer {
        /// How it ended.
        pub commit: CommitResult,
    }

    /// The instances listed.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct MembersAnswer {
        /// The instances.
        pub members: Vec<Member>,
    }
}
