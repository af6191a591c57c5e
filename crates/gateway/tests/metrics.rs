//! The metrics' text format, and that the operators' page lists exactly the metrics served.

use std::collections::BTreeSet;
use std::fs;
use std::time::Duration;

use gateway::fleet::ReplicaCounts;
use gateway::metrics::{GaugeSample, Metrics};
use policy::customer_quota::QuotaSource;

const SAMPLE: GaugeSample = GaugeSample {
    in_flight: 3,
    config_revision: 7,
    config_age: Some(Duration::from_millis(250)),
    listing_age: None,
    members: 5,
    replicas: ReplicaCounts {
        listed: 18,
        available: 17,
        leaving: 0,
        loading: 0,
        paused: 0,
        held_off: 1,
        evacuated: 3,
        limited: 2,
        cold: 3,
        cold_withheld: 1,
        paced: 0,
    },
    evacuated_domains: 1,
    is_path_cut: false,
    prefill_speed: 30_000.0,
};

#[test]
fn the_operators_page_lists_exactly_the_metrics_served() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/platform.md");
    let page = fs::read_to_string(page).unwrap();
    let rows = page.lines().filter_map(|it| it.strip_prefix("| `kingcupshift_"));
    let name = |row: &str| row.split(['`', '{']).next().map(|it| format!("kingcupshift_{it}"));
    let listed: BTreeSet<String> = rows.filter_map(name).collect();
    let metrics = Metrics::new();
    let served: BTreeSet<String> = metrics.names().iter().map(|it| it.to_string()).collect();
    assert_eq!(listed, served);
}

#[test]
fn the_encoded_text_holds_counters_histograms_and_gauges() {
    let metrics = Metrics::new();
    metrics.record_answer(200, Duration::from_millis(40));
    metrics.record_refusal("no_target");
    metrics.record_granted_tokens(QuotaSource::Home(0.5), 900);
    metrics.record_granted_tokens(QuotaSource::Substitute, 20);
    metrics.record_store_call("lease", Duration::from_millis(5), true);
    let text = String::from_utf8(metrics.encode(SAMPLE, 2)).unwrap();
    for line in [
        "kingcupshift_answers_total{status=\"200\"} 1",
        "kingcupshift_refusals_total{kind=\"no_target\"} 1",
        "kingcupshift_granted_tokens_total{bucket=\"home\"} 900",
        "kingcupshift_granted_tokens_total{bucket=\"substitute\"} 20",
        "kingcupshift_first_byte_seconds_count 1",
        "kingcupshift_store_errors_total{call=\"lease\"} 1",
        "kingcupshift_store_call_seconds_count{call=\"lease\"} 1",
        "kingcupshift_config_revision 7",
        "kingcupshift_belief_age_seconds{what=\"config\"} 0.25",
        "kingcupshift_replicas{state=\"closed\"} 1",
        "kingcupshift_replicas{state=\"open\"} 17",
        "kingcupshift_replicas{state=\"cold\"} 3",
        "kingcupshift_replicas_withheld{reason=\"cold\"} 1",
        "kingcupshift_replicas_withheld{reason=\"held_off\"} 1",
        "kingcupshift_replicas_withheld{reason=\"leaving\"} 0",
        "kingcupshift_replicas_withheld{reason=\"limited\"} 2",
        "kingcupshift_log_lines_dropped 2",
    ] {
        assert!(text.lines().any(|it| it == line), "no line {line} in\n{text}");
    }
    // No age is exported for a listing that is not known.
    assert!(!text.contains("kingcupshift_belief_age_seconds{what=\"replicas\"}"));
}
