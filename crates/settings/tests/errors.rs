//! Layers are merged and validated as a whole; errors name the file, the line and the field.

use rstest::rstest;
use settings::{Layer, Millis};

const BASE_LAYER: &str = r#"// the base
{
  "platform": { "poll_ms": 1000 },
  "limits": { "body_bytes": 2048 } // short
}"#;

const SITE_LAYER: &str = r#"{
  "instance": {
    "id": "entry-1",
    "failure_domain": "north",
    "callers": "127.0.0.1:8080",
    "admin": "127.0.0.1:7001",
    "peers": "127.0.0.1:7000"
  },
  "platform": {
    "list": "127.0.0.1:9100",
    "table": "127.0.0.1:9101",
    "objects": "127.0.0.1:9102",
    "weights": "127.0.0.1:9103"
  },
  "secrets": {
    "peer": "sixteen-characters",
    "admin": "sixteen-characters",
    "target": "sixteen-characters"
  }
}"#;

fn layer(origin: &str, text: &str) -> Layer {
    Layer { origin: origin.into(), text: text.into() }
}

fn load(overlay: &str) -> Result<settings::Settings, String> {
    let layers = [
        layer("base.json", BASE_LAYER),
        layer("site.json", SITE_LAYER),
        layer("over.json", overlay),
    ];
    settings::load(&layers).map_err(|error| error.to_string())
}

#[test]
fn later_layers_override_earlier_ones() {
    let settings = load(r#"{ "platform": { "table": "10.0.0.1:1" } }"#).unwrap();
    assert_eq!(settings.platform.table, "10.0.0.1:1".parse().unwrap());
    assert_eq!(settings.platform.poll_ms, Millis(1_000));
    assert_eq!(settings.limits.body_bytes, 2_048);
    assert_eq!(settings.limits.queue_length, 1_000, "a field that no layer sets has its default");
}

#[rstest]
#[case::unknown_field(
    "{\n  \"limits\": {\n    \"body_byte\": 1\n  }\n}",
    "over.json:3: field limits.body_byte: unknown field `body_byte`"
)]
#[case::wrong_type(
    "{\n\n  \"limits\": { \"body_bytes\": \"big\" }\n}",
    "over.json:3: field limits.body_bytes: invalid type: string \"big\", expected usize"
)]
#[case::out_of_bounds(
    "{ \"limits\":\n { \"body_bytes\": 3 } }",
    "over.json:2: field limits.body_bytes: found 3; allowed: 1024 to 268435456 bytes"
)]
#[case::poll_interval_too_long(
    "{ \"platform\": { \"poll_ms\": 9000 } }",
    "over.json:1: field platform.poll_ms: found 9000; allowed: at most 2500: changes are due within 5 s"
)]
#[case::no_time_to_drain(
    "{ \"timeouts\": { \"drain_ms\": 0 } }",
    "over.json:1: field timeouts.drain_ms: found 0; allowed: 1 to 3600000 milliseconds"
)]
#[case::endless_wait_for_tokens(
    "{ \"timeouts\": { \"rate_wait_ms\": 3600001 } }",
    "over.json:1: field timeouts.rate_wait_ms: found 3600001; allowed: 0 to 3600000 milliseconds"
)]
#[case::requests_that_hold_no_slot(
    "{ \"traffic\": { \"slot_ms\": 0 } }",
    "over.json:1: field traffic.slot_ms: found 0; allowed: 1 to 3600000 milliseconds"
)]
#[case::negative_prefill_time(
    "{ \"traffic\": { \"prefill_us\": -1.5 } }",
    "over.json:1: field traffic.prefill_us: found -1.5; allowed: 0 or more"
)]
#[case::invalid_address(
    "{ \"platform\": { \"table\": \"here\" } }",
    "over.json:1: field platform.table: invalid socket address syntax"
)]
#[case::invalid_id(
    "{\n \"instance\": {\n \"id\": \"a b\" } }",
    "over.json:3: field instance.id: an id holds letters, digits, '-', '_' and '.', found ' '"
)]
#[case::short_secret(
    "{ \"secrets\": { \"admin\": \"short\" } }",
    "over.json:1: field secrets.admin: found 5 bytes; allowed: at least 16 bytes"
)]
#[case::not_an_object("[1]", "over.json:1: found no object; allowed: one JSON object")]
fn an_error_names_file_line_and_field(#[case] overlay: &str, #[case] expected: &str) {
    let error = load(overlay).unwrap_err();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn requests_over_a_rate_may_be_refused_without_a_wait() {
    let settings = load(r#"{ "timeouts": { "rate_wait_ms": 0 } }"#).unwrap();
    assert_eq!(settings.timeouts.rate_wait_ms, Millis(0));
}

#[test]
fn a_syntax_error_names_its_line() {
    let error = load("{\n  \"limits\": {\n    \"body_bytes\" 3\n  }\n}").unwrap_err();
    assert!(error.starts_with("over.json:3: "), "{error}");
}

#[test]
fn missing_fields_are_reported_at_the_object_that_lacks_them() {
    let error = settings::load(&[layer("base.json", BASE_LAYER)]).unwrap_err().to_string();
    let expected = [
        "base.json:3: field platform: missing field `list`",
        "base.json:3: field platform: missing field `table`",
        "base.json:3: field platform: missing field `objects`",
        "base.json:3: field platform: missing field `weights`",
        "base.json:2: field .: missing field `instance`",
        "base.json:2: field .: missing field `secrets`",
    ];
    assert_eq!(error, expected.join("\n"));
}

#[rstest]
#[case::wrong_types_and_unknown_fields(
    "{\n \"limits\": { \"body_byte\": 1, \"queue_length\": \"long\" },\n \"instance\": { \"id\": \"a b\" },\n \"more\": 1 }",
    &["limits.body_byte:", "limits.queue_length:", "instance.id:", "more:"]
)]
#[case::out_of_bounds(
    "{ \"limits\": { \"body_bytes\": 3, \"queue_length\": 0 }, \"peers\": { \"deadline_ms\": 0 }, \"secrets\": { \"peer\": \"x\" } }",
    &["limits.body_bytes:", "limits.queue_length:", "peers.deadline_ms:", "secrets.peer:"]
)]
fn all_errors_are_reported_at_once(#[case] overlay: &str, #[case] fields: &[&str]) {
    let error = load(overlay).unwrap_err();
    assert_eq!(error.lines().count(), fields.len(), "{error}");
    for field in fields {
        assert!(error.contains(&format!("field {field}")), "{field} is not in:\n{error}");
    }
}

#[rstest]
#[case("limits.body_bytes=4096", true)]
#[case("instance.id=entry-9", true)]
#[case("limits", false)]
fn a_single_value_is_a_layer(#[case] text: &str, #[case] valid: bool) {
    let single = Layer::from_assignment(text);
    assert_eq!(single.is_ok(), valid);
    if let Ok(single) = single {
        let layers = [layer("base.json", BASE_LAYER), layer("site.json", SITE_LAYER), single];
        assert!(settings::load(&layers).is_ok());
    }
}

#[test]
fn the_example_settings_of_both_deployments_are_valid() {
    let folder = std::path::PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for site in ["cooperative", "wholesalers"] {
        let names = ["base.json".into(), format!("{site}.json"), format!("{site}-instance.json")];
        let layers: Vec<Layer> =
            names.iter().map(|it| Layer::read(&folder.join(it)).unwrap()).collect();
        settings::load(&layers).unwrap_or_else(|error| panic!("{error}"));
    }
}
