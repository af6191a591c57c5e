//! HTTP client of the platform's services: instance list, table, object store and weight store.
//!
//! This crate implements the platform's protocol (docs/design/platform-protocol.md) and reports
//! whether a call may have taken effect. It keeps no state but its connections, and decides nothing
//! beyond the retries of a read within its deadline.

mod http_store;

pub use http_store::{PlatformAddress, PlatformClient};

/// JSON bodies of the platform's protocol. Field names are written out as they are here.
pub mod wire {
    use ids::Revision;
    use ports::{CommitResult, Member, Row};
    use serde::{Deserialize, Serialize};

    /// Asks for the rows under a key prefix.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct ScanRequest {
        /// The prefix that the keys start with.
        pub prefix: Box<str>,
        /// Only keys that sort after this one are returned; empty for the first page.
        pub after: Box<str>,
        /// The most rows to return.
        pub limit: usize,
    }

    /// Asks for one row.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct ReadRequest {
        /// The row's key.
        pub key: Box<str>,
    }

    /// The rows found, in key order. Answers both a scan and a read.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct RowsAnswer {
        /// The rows; none or one in answer to a read.
        pub rows: Vec<Row>,
        /// The table's revision when the rows were read.
        pub revision: Revision,
    }

    /// The answer to a transaction.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct CommitAnswer {
        /// Whether the transaction was committed, or a condition did not hold.
        pub commit: CommitResult,
    }

    /// The list of instances.
    #[derive(Debug, Serialize, Deserialize)]
    pub struct MembersAnswer {
        /// The listed instances with their addresses and states.
        pub members: Vec<Member>,
    }
}
