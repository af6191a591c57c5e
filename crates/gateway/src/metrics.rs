//! Prometheus counters, histograms and gauges; docs/operators/platform.md lists them.

use std::cell::RefCell;
use std::time::Duration;

use policy::admission::WithholdReason;
use policy::customer_quota::QuotaSource;
use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, Opts,
    Registry, TextEncoder,
};

use crate::fleet::ReplicaCounts;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// All metrics of a daemon, in a registry of its own.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    names: Vec<Box<str>>,
    /// Forwarded answers of replicas, by status.
    answers: IntCounterVec,
    /// Requests that were refused or failed, by error code.
    refusals: IntCounterVec,
    /// Requests that were sent to a replica again, by reason.
    retries: IntCounterVec,
    attempts_withheld: IntCounterVec,
    room_refusals: IntCounterVec,
    /// Calls to the store that have ended, also failed ones.
    store_calls: IntCounterVec,
    store_errors: IntCounterVec,
    store_older_answers: IntCounterVec,
    /// Replicas that were asked whether they had crashed, by what was found.
    crash_probes: IntCounterVec,
    relays: IntCounterVec,
    /// Tokens of customers' rates that this daemon granted, by the bucket that they came from.
    granted_tokens: IntCounterVec,
    /// Bytes sent to other daemons, by kind of message.
    peer_bytes: IntCounterVec,
    /// Time from a request to the headers of its answer.
    first_byte: Histogram,
    /// Time from a request to its stream's first event.
    first_event: Histogram,
    event_gap: Histogram,
    /// Time that requests waited for a replica, also if they got none.
    placement_wait: Histogram,
    store_seconds: HistogramVec,
    /// Time from a load command until the replica has the weights.
    order_seconds: Histogram,
    gauges: StateGauges,
}

/// Values of the gauges at the time of a scrape, by this daemon's knowledge.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GaugeSample {
    /// Requests in flight.
    pub in_flight: usize,
    /// Revision of the configuration in force; 0 if none is.
    pub config_revision: u64,
    /// Time since the configuration was last confirmed; `None` if none is known.
    pub config_age: Option<Duration>,
    /// Time since the listing of replicas was last confirmed; `None` if none is known.
    pub listing_age: Option<Duration>,
    /// Daemons reachable through gossip, this one included.
    pub members: usize,
    /// Listed replicas, and why some of them get no requests.
    pub replicas: ReplicaCounts,
    /// Evacuated failure domains.
    pub evacuated_domains: usize,
    /// Whether this daemon reaches no replica of some pool.
    pub is_path_cut: bool,
    /// Learned prefill speed, in tokens per second.
    pub prefill_speed: f64,
}

#[derive(Debug)]
struct StateGauges {
    in_flight: Gauge,
    config_revision: Gauge,
    /// Time since the configuration and the list of replicas were last confirmed to be current.
    age: GaugeVec,
    /// Daemons reachable through gossip, this one included.
    members: Gauge,
    replicas: GaugeVec,
    /// Listed replicas that get no requests, by reason; one may count for several.
    withheld: GaugeVec,
    path_cut: Gauge,
    evacuated_domains: Gauge,
    prefill_speed: Gauge,
    dropped_lines: Gauge,
}

/// Creates and registers metrics, and collects their names. An invalid or duplicate name panics.
#[derive(Default)]
struct MetricBuilder {
    registry: Registry,
    names: RefCell<Vec<Box<str>>>,
}

impl MetricBuilder {
    fn register(&self, name: &str, collector: impl Collector + 'static) {
        self.registry.register(Box::new(collector)).expect("a unique metric name");
        self.names.borrow_mut().push(name.into());
    }

    fn counter(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let counter =
            IntCounterVec::new(Opts::new(name, help), &[label]).expect("a valid metric name");
        self.register(name, counter.clone());
        counter
    }

    fn histogram(&self, name: &str, help: &str) -> Histogram {
        let options = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_S.into());
        let histogram = Histogram::with_opts(options).expect("a valid metric name");
        self.register(name, histogram.clone());
        histogram
    }

    fn histograms(&self, name: &str, help: &str, label: &str) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_S.into());
        let histograms = HistogramVec::new(options, &[label]).expect("a valid metric name");
        self.register(name, histograms.clone());
        histograms
    }

    fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::new(name, help).expect("a valid metric name");
        self.register(name, gauge.clone());
        gauge
    }

    fn gauges(&self, name: &str, help: &str, label: &str) -> GaugeVec {
        let gauges = GaugeVec::new(Opts::new(name, help), &[label]).expect("a valid metric name");
        self.register(name, gauges.clone());
        gauges
    }
}

impl Metrics {
    /// Registers all metrics, with counts of zero.
    pub fn new() -> Metrics {
        let builder = MetricBuilder::default();
        let gauges = StateGauges {
            in_flight: builder.gauge("kingcupshift_requests_in_flight", "Requests under way"),
            config_revision: builder
                .gauge("kingcupshift_config_revision", "Revision of the configuration in force"),
            age: builder.gauges(
                "kingcupshift_belief_age_seconds",
                "Since it was confirmed",
                "what",
            ),
            members: builder.gauge("kingcupshift_members", "Daemons heard, this one among them"),
            replicas: builder.gauges("kingcupshift_replicas", "Replicas by state", "state"),
            withheld: builder.gauges(
                "kingcupshift_replicas_withheld",
                "Replicas that get no requests, by reason",
                "reason",
            ),
            path_cut: builder.gauge(
                "kingcupshift_replica_path_cut",
                "1 while this daemon reaches no replica of some pool",
            ),
            evacuated_domains: builder
                .gauge("kingcupshift_evacuated_domains", "Evacuated failure domains"),
            prefill_speed: builder
                .gauge("kingcupshift_prefill_tokens_per_second", "Learned speed of prefill"),
            dropped_lines: builder
                .gauge("kingcupshift_log_lines_dropped", "Log lines dropped since the start"),
        };
        Metrics {
            answers: builder.counter("kingcupshift_answers_total", "Answers of replicas", "status"),
            refusals: builder.counter(
                "kingcupshift_refusals_total",
                "Refusals and failures",
                "kind",
            ),
            retries: builder.counter("kingcupshift_retries_total", "Requests sent again", "reason"),
            room_refusals: builder.counter(
                "kingcupshift_room_refusals_total",
                "Requests refused because the engines had no room in time",
                "reason",
            ),
            attempts_withheld: builder.counter(
                "kingcupshift_attempts_withheld_total",
                "Requests not sent to the replica chosen for them, by reason",
                "reason",
            ),
            store_calls: builder.counter(
                "kingcupshift_store_calls_total",
                "Calls to the store",
                "call",
            ),
            store_errors: builder.counter(
                "kingcupshift_store_errors_total",
                "Calls that failed",
                "call",
            ),
            store_older_answers: builder.counter(
                "kingcupshift_store_older_answers_total",
                "Answers of the store that were older than what was known",
                "call",
            ),
            relays: builder.counter(
                "kingcupshift_relayed_requests_total",
                "Requests that were offered to another daemon, by outcome",
                "outcome",
            ),
            crash_probes: builder.counter(
                "kingcupshift_crash_probes_total",
                "Replicas probed after a connection broke",
                "finding",
            ),
            granted_tokens: builder.counter(
                "kingcupshift_granted_tokens_total",
                "Tokens of customers' rates that were granted",
                "bucket",
            ),
            peer_bytes: builder.counter(
                "kingcupshift_peer_bytes_total",
                "Bytes sent to other daemons",
                "message",
            ),
            first_byte: builder.histogram("kingcupshift_first_byte_seconds", "Time to an answer"),
            first_event: builder
                .histogram("kingcupshift_first_event_seconds", "Time to a stream's first event"),
            event_gap: builder
                .histogram("kingcupshift_event_gap_seconds", "Time between a stream's events"),
            placement_wait: builder
                .histogram("kingcupshift_placement_wait_seconds", "Waiting for a replica"),
            store_seconds: builder.histograms(
                "kingcupshift_store_call_seconds",
                "Time of a call",
                "call",
            ),
            order_seconds: builder
                .histogram("kingcupshift_order_seconds", "From an order to weights in place"),
            gauges,
            registry: builder.registry,
            names: builder.names.into_inner(),
        }
    }

    /// The counter of bytes sent to other daemons, by kind of message.
    pub fn peer_bytes(&self) -> IntCounterVec {
        self.peer_bytes.clone()
    }

    /// The names of all metrics, in the order of registration.
    pub fn names(&self) -> &[Box<str>] {
        &self.names
    }

    /// Counts a forwarded answer of a replica, whose headers arrived `after` the request.
    pub fn record_answer(&self, status: u16, after: Duration) {
        self.answers.with_label_values(&[&status.to_string()]).inc();
        self.first_byte.observe(after.as_secs_f64());
    }

    /// Records that a stream's first event arrived `after` the request.
    pub fn record_first_event(&self, after: Duration) {
        self.first_event.observe(after.as_secs_f64());
    }

    /// Records the time between two arrivals of events of a stream.
    pub fn record_event_gap(&self, gap: Duration) {
        self.event_gap.observe(gap.as_secs_f64());
    }

    /// Records how long a request waited for a replica, also if it got none.
    pub fn record_placement_wait(&self, waited: Duration) {
        self.placement_wait.observe(waited.as_secs_f64());
    }

    /// Counts a request that was refused or failed, by its error code.
    pub fn record_refusal(&self, kind: &str) {
        self.refusals.with_label_values(&[kind]).inc();
    }

    /// Counts a request that was sent again, by the code of the reason.
    pub fn record_retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Counts a probe of a replica under whose requests a connection broke, by what was found.
    pub fn record_crash_probe(&self, finding: &str) {
        self.crash_probes.with_label_values(&[finding]).inc();
    }

    /// Counts tokens of a customer's rate that were granted from a bucket of this daemon.
    pub fn record_granted_tokens(&self, source: QuotaSource, tokens: u64) {
        let bucket = match source {
            QuotaSource::Home(_) => "home",
            QuotaSource::Substitute => "substitute",
            QuotaSource::Local(_) => "local",
        };
        self.granted_tokens.with_label_values(&[bucket]).inc_by(tokens);
    }

    /// Records a call to the store that has ended, and whether it failed.
    pub fn record_store_call(&self, call: &str, took: Duration, failed: bool) {
        self.store_calls.with_label_values(&[call]).inc();
        self.store_seconds.with_label_values(&[call]).observe(took.as_secs_f64());
        if failed {
            self.store_errors.with_label_values(&[call]).inc();
        }
    }

    /// Records an answer of the store that is older than what was known before.
    pub(crate) fn record_older_answer(&self, call: &str) {
        self.store_older_answers.with_label_values(&[call]).inc();
    }

    /// Records a request that was offered to another daemon.
    pub(crate) fn record_relay(&self, outcome: &str) {
        self.relays.with_label_values(&[outcome]).inc();
    }

    /// Records a request that was refused because no room on the engines was expected in time.
    pub(crate) fn record_room_refusal(&self) {
        self.room_refusals.with_label_values(&["no_room"]).inc();
    }

    /// Records a request that was not sent to the replica chosen for it.
    pub(crate) fn record_withheld(&self, reason: WithholdReason) {
        self.attempts_withheld.with_label_values(&[reason.code()]).inc();
    }

    /// Records how long a replica took from a command to having the weights.
    pub fn record_command(&self, took: Duration) {
        self.order_seconds.observe(took.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format, with the gauges set from `sample`.
    pub fn encode(&self, sample: GaugeSample, dropped_lines: usize) -> Vec<u8> {
        let gauges = &self.gauges;
        gauges.in_flight.set(sample.in_flight as f64);
        gauges.config_revision.set(sample.config_revision as f64);
        for (what, age) in [("config", sample.config_age), ("replicas", sample.listing_age)] {
            match age {
                Some(age) => gauges.age.with_label_values(&[what]).set(age.as_secs_f64()),
                // An error only means that there is no such gauge.
                None => drop(gauges.age.remove_label_values(&[what])),
            }
        }
        gauges.members.set(sample.members as f64);
        let replicas = sample.replicas;
        let closed = replicas.listed - replicas.available;
        let states = [("open", replicas.available), ("closed", closed), ("cold", replicas.cold)];
        for (state, count) in states {
            gauges.replicas.with_label_values(&[state]).set(f64::from(count));
        }
        for (reason, count) in [
            (WithholdReason::Leaving, replicas.leaving),
            (WithholdReason::HeldOff, replicas.held_off),
            (WithholdReason::Evacuated, replicas.evacuated),
            (WithholdReason::AtLimit, replicas.limited),
            (WithholdReason::Cold, replicas.cold_withheld),
            (WithholdReason::Paused, replicas.paused),
            (WithholdReason::LoadingWeights, replicas.loading),
        ] {
            gauges.withheld.with_label_values(&[reason.code()]).set(f64::from(count));
        }
        gauges.path_cut.set(f64::from(u8::from(sample.is_path_cut)));
        gauges.evacuated_domains.set(sample.evacuated_domains as f64);
        gauges.prefill_speed.set(sample.prefill_speed);
        gauges.dropped_lines.set(dropped_lines as f64);
        let mut text = Vec::new();
        // Writing to a `Vec` does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
