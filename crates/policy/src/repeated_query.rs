//! The answers to the last queries of other daemons, so that a query that was repeated because its
//! reply got lost is charged once.

use std::time::Duration;

use indexmap::IndexMap;

/// Number of queries whose answers are kept. At the limit the oldest is dropped.
const MAX_ANSWERS: usize = 256;

/// Answers by the id of the query: granted, or how long to wait.
#[derive(Debug, Default)]
pub struct AnsweredQueries(IndexMap<u64, Result<(), Duration>>);

impl AnsweredQueries {
    /// The answer to a query, if it is on record.
    pub fn get(&self, query_id: u64) -> Option<Result<(), Duration>> {
        self.0.get(&query_id).copied()
    }

    /// Records the answer to a query.
    pub fn record(&mut self, query_id: u64, answer: Result<(), Duration>) {
        if self.0.len() == MAX_ANSWERS && !self.0.contains_key(&query_id) {
            self.0.shift_remove_index(0);
        }
        self.0.insert(query_id, answer);
    }
}
