//! The daemon's counters, gauges and histograms, with the prefix `kingcupshift_`.

use std::time::Duration;

use ids::{ErrorKind, Refusal};
use policy::retry::RetryReason;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 2.5, 5.0, 10.0];

/// All metrics of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests refused, by kind and by what the caller is told about the run.
    refusals: IntCounterVec,
    /// Retried attempts, resumed streams and replayed streams, by reason.
    retries: IntCounterVec,
    /// Requests that passed the checks and the rate limit, by route and outcome.
    requests: IntCounterVec,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    prompt_tokens: IntCounterVec,
    cached_tokens: IntCounterVec,
    /// Revision of the catalog in use.
    pub(crate) catalog_revision: IntGauge,
    /// Whether each platform service answered the last poll, by part.
    pub(crate) platform_up: IntGaugeVec,
    /// Members in the platform's list.
    pub(crate) members: IntGauge,
    /// Requests to the holders of a customer's rate, by result.
    pub(crate) rate_requests: IntCounterVec,
    /// Replica crashes recorded against requests.
    pub(crate) strikes: IntCounter,
    /// Streams whose caller disconnected or read too slowly.
    pub(crate) cancelled: IntCounter,
    /// Calls with an idempotency key, by the result of their claim.
    pub(crate) claims: IntCounterVec,
    /// Requests in flight.
    pub(crate) open_requests: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let metrics = Metrics {
            refusals: register_counters(
                &registry,
                "refusals_total",
                "Requests refused",
                &["kind", "run"],
            ),
            retries: register_counters(
                &registry,
                "retries_total",
                "Attempts repeated",
                &["reason"],
            ),
            requests: register_counters(
                &registry,
                "requests_total",
                "Requests",
                &["route", "outcome"],
            ),
            first_token: register_histogram(
                &registry,
                "first_token_seconds",
                "Time to the first token",
            ),
            between_tokens: register_histogram(
                &registry,
                "between_tokens_seconds",
                "Time between tokens",
            ),
            prompt_tokens: register_counters(
                &registry,
                "prompt_tokens_total",
                "Prompt tokens",
                &["pool"],
            ),
            cached_tokens: register_counters(
                &registry,
                "cached_tokens_total",
                "Prompt tokens found in a replica's cache",
                &["pool"],
            ),
            catalog_revision: register_gauge(&registry, "catalog_revision", "Revision in force"),
            platform_up: register_gauges(
                &registry,
                "platform_up",
                "Platform services answering",
                "part",
            ),
            members: register_gauge(&registry, "members", "Instances listed"),
            rate_requests: register_counters(
                &registry,
                "rate_asks_total",
                "Takings of tokens",
                &["result"],
            ),
            strikes: register_counter(&registry, "strikes_total", "Crashes charged to requests"),
            cancelled: register_counter(&registry, "cancelled_total", "Requests whose caller left"),
            claims: register_counters(&registry, "claims_total", "Claims of calls", &["result"]),
            open_requests: register_gauge(&registry, "open_requests", "Requests being handled"),
            registry,
        };
        // Every label exists from the start, so that an alert fires on the first refusal or retry.
        for kind in ErrorKind::all() {
            metrics.refusals.with_label_values(&[kind.code(), "not_run"]);
        }
        for reason in RetryReason::ALL {
            metrics.retries.with_label_values(&[reason.code()]);
        }
        metrics
    }

    /// Counts a refused request by kind and by what the caller is told about its run.
    pub(crate) fn record_refusal(&self, refusal: &Refusal) {
        self.refusals.with_label_values(&[refusal.kind.code(), refusal.run.code()]).inc();
    }

    /// Counts a retried attempt, or a stream that was resumed or replayed.
    pub(crate) fn record_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.code()]).inc();
    }

    /// Counts a request that passed the checks and the rate limit; `outcome` is `answered` or
    /// `refused`.
    pub(crate) fn record_request(&self, route: &str, outcome: &str) {
        self.requests.with_label_values(&[route, outcome]).inc();
    }

    /// Records the time from the arrival of a request to its first token.
    pub(crate) fn record_first_token(&self, customer: &str, route: &str, time: Duration) {
        self.first_token.with_label_values(&[customer, route]).observe(time.as_secs_f64());
    }

    /// Records the time between two tokens of a stream.
    pub(crate) fn record_token_gap(&self, customer: &str, route: &str, time: Duration) {
        self.between_tokens.with_label_values(&[customer, route]).observe(time.as_secs_f64());
    }

    /// Counts a prompt's tokens, and those of them that the replica reported as cached.
    pub(crate) fn record_prompt(&self, pool: &str, tokens: u64, cached: u64) {
        self.prompt_tokens.with_label_values(&[pool]).inc_by(tokens);
        self.cached_tokens.with_label_values(&[pool]).inc_by(cached);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only on metrics without samples, which `gather` leaves out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let counters = IntCounterVec::new(options(name, help), labels).expect("the name is valid");
    registry.register(Box::new(counters.clone())).expect("the names differ");
    counters
}

fn register_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::with_opts(options(name, help)).expect("the name is valid");
    registry.register(Box::new(counter.clone())).expect("the names differ");
    counter
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::with_opts(options(name, help)).expect("the name is valid");
    registry.register(Box::new(gauge.clone())).expect("the names differ");
    gauge
}

fn register_gauges(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(options(name, help), &[label]).expect("the name is valid");
    registry.register(Box::new(gauges.clone())).expect("the names differ");
    gauges
}

fn register_histogram(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let options = HistogramOpts::from(options(name, help)).buckets(BUCKET_BOUNDS_S.to_vec());
    let times = HistogramVec::new(options, &["customer", "route"]).expect("the name is valid");
    registry.register(Box::new(times.clone())).expect("the names differ");
    times
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("kingcupshift_{name}"), help)
}
