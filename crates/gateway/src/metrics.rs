//! Counters and histograms.

use std::time::Duration;

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounterVec, Opts, Registry, TextEncoder};

/// What is counted.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    store_calls: IntCounterVec,
    first_byte: Histogram,
}

impl Metrics {
    /// All at zero.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let vector = IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid name");
            registry.register(Box::new(vector.clone())).expect("a name of its own");
            vector
        };
        let answers = counter("kingcupshift_answers_total", "Answers of replicas", "status");
        let refusals = counter("kingcupshift_refusals_total", "Refusals and failures", "kind");
        let retries = counter("kingcupshift_retries_total", "Requests sent again", "reason");
        let store_calls = counter("kingcupshift_store_calls_total", "Calls to the store", "call");
        let options = HistogramOpts::new("kingcupshift_first_byte_seconds", "Time to an answer");
        let first_byte = Histogram::with_opts(options).expect("a valid name");
        registry.register(Box::new(first_byte.clone())).expect("a name of its own");
        Metrics { registry, answers, refusals, retries, store_calls, first_byte }
    }

    /// A replica's answer was passed on.
    pub fn answer(&self, status: u16, after: Duration) {
        self.answers.with_label_values(&[&status.to_string()]).inc();
        self.first_byte.observe(after.as_secs_f64());
    }

    /// A request was refused or failed.
    pub fn refuse(&self, kind: &str) {
        self.refusals.with_label_values(&[kind]).inc();
    }

    /// A request was sent again.
    pub fn retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// The store was called.
    pub fn store_call(&self, call: &str) {
        self.store_calls.with_label_values(&[call]).inc();
    }

    /// All as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
