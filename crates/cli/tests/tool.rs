//! Runs the operators' tool against a daemon and checks its output and exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use serde_json::Value;
use settings::Layer;
use stand_ins::loopback;

const ADMIN_TOKEN: &str = "tool-operator-token";

/// Starts a stand-in platform and a daemon in this process, waits until the daemon is ready, and
/// returns its admin address.
async fn start_daemon() -> SocketAddr {
    let loopback = ([127, 0, 0, 1], 0).into();
    let platform = stand_ins::platform::start(loopback, Duration::from_secs(60)).unwrap();
    let at = platform.local_addr();
    let admin = loopback::free_address();
    let text = format!(
        r#"{{
            "instance": {{
                "id": "entry-1", "failure_domain": "north", "callers": "{}", "admin": "{admin}",
                "peers": "{}"
            }},
            "platform": {{
                "list": "{at}", "table": "{at}", "objects": "{at}", "weights": "{at}"
            }},
            "secrets": {{
                "peer": "a-secret-of-peers", "admin": "{ADMIN_TOKEN}", "target": "a-secret-of-targets"
            }}
        }}"#,
        loopback::free_address(),
        loopback::free_address()
    );
    let settings = settings::load(&[Layer { origin: "test".into(), text: text.into() }]).unwrap();
    tokio::spawn(async move {
        let _platform = platform;
        daemon::serve(settings).await.unwrap();
    });
    for _ in 0..200 {
        let out = run_tool(admin, &["--json", "status"]).await;
        if out.status.success() && stdout_json(&out)["ready"] == true {
            return admin;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the daemon is not ready");
}

async fn run_tool(admin: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kingcupshift"));
    command.arg("--admin").arg(admin.to_string()).arg("--token").arg(ADMIN_TOKEN).args(args);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

fn stdout_json(out: &Output) -> Value {
    serde_json::from_slice(&out.stdout).unwrap_or_default()
}

fn output_text(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

fn example_path(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    folder.join(name).display().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_command_prints_its_result_and_exit_code() {
    let admin = start_daemon().await;
    // Arguments, exit code, and a text that the output contains.
    let steps: &[(&[&str], i32, &str)] = &[
        (
            &["customer", "put", "shop", "--rate", "100", "--burst", "1000"],
            0,
            "accepted at revision 1",
        ),
        (
            &["customer", "put", "shop", "--rate", "0", "--burst", "1"],
            1,
            "rate of shop: 0 is not allowed",
        ),
        (&["customer", "put", "a b", "--rate", "1", "--burst", "1"], 1, "an id holds letters"),
        (&["customer", "list"], 0, "shop  100   1000   1"),
        (&["key", "create", "k1", "--customer", "shop"], 0, "this secret is not shown again"),
        (&["key", "create", "k1", "--customer", "shop"], 1, "key k1 exists"),
        (&["key", "create", "k2", "--customer", "nobody"], 1, "customer nobody does not exist"),
        (&["key", "list"], 0, "k1  shop"),
        (&["pool", "put", "desk", "--kind", "motor"], 2, "allowed: engine, service, kv_store"),
        (&["pool", "put", "desk", "--kind", "engine"], 0, "accepted"),
        (&["pool", "put", "orders", "--kind", "service"], 0, "accepted"),
        (&["version", "put", "desk", "1", "--weights", "desk-1"], 0, "accepted"),
        (&["version", "put", "desk", "2", "--weights", "desk-2"], 0, "accepted"),
        (
            &[
                "target",
                "put",
                "d-1",
                "--pool",
                "desk",
                "--address",
                "127.0.0.1:9",
                "--failure-domain",
                "north",
            ],
            0,
            "accepted",
        ),
        (&["target", "list"], 0, "127.0.0.1:9"),
        (&["target", "leave", "d-1"], 0, "accepted"),
        (&["targets"], 0, "leaving"),
        (&["route", "put", "r", "--pool", "desk", "--model", "desk"], 0, "accepted"),
        (&["route", "put", "r2", "--pool", "orders"], 2, "give one of --model and --prefix"),
        (
            &["route", "put", "s", "--pool", "orders", "--prefix", "/orders", "--customer", "shop"],
            0,
            "accepted",
        ),
        (&["route", "list"], 0, "/orders"),
        (&["pool", "remove", "desk"], 1, "pool desk is still used by route r"),
        (
            &["move", "start", "m1", "--pool", "desk", "--to", "9"],
            1,
            "version desk/9 does not exist",
        ),
        (
            &["move", "start", "m1", "--pool", "desk", "--to", "2", "--deadline-s", "60"],
            0,
            "accepted",
        ),
        (&["move", "take-back", "m1"], 0, "accepted"),
        (&["move", "watch", "m1"], 1, "taken_back"),
        (&["move", "take-back", "m1"], 1, "move m1 is finished and cannot be rolled back"),
        (&["version", "remove", "desk", "2"], 0, "accepted"),
        (&["target", "remove", "d-1"], 0, "accepted"),
        (&["key", "withdraw", "k1"], 0, "key k1 withdrawn: accepted"),
        (&["key", "withdraw", "k1"], 1, "key k1 does not exist"),
        (&["route", "remove", "s"], 0, "accepted"),
        (&["customer", "remove", "shop"], 0, "accepted"),
        (&["customer", "remove", "shop"], 1, "customer shop does not exist"),
        (&["instances"], 0, "entry-1"),
        (&["status"], 0, "ready: true"),
    ];
    for (args, code, part) in steps {
        let out = run_tool(admin, args).await;
        assert_eq!(out.status.code(), Some(*code), "{args:?}: {}", output_text(&out));
        assert!(output_text(&out).contains(part), "{args:?}: {}", output_text(&out));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_catalog_file_is_checked_compared_and_applied() {
    let admin = start_daemon().await;
    for file in ["cooperative-catalog.json", "wholesalers-catalog.json"] {
        let file = example_path(file);
        assert!(output_text(&run_tool(admin, &["check", &file]).await).contains("valid"));
        assert_eq!(run_tool(admin, &["diff", &file]).await.status.code(), Some(3), "differences");
        let applied = run_tool(admin, &["apply", &file]).await;
        assert_eq!(applied.status.code(), Some(0), "{}", output_text(&applied));
        assert_eq!(
            run_tool(admin, &["diff", &file]).await.status.code(),
            Some(0),
            "no differences"
        );
        assert!(
            output_text(&run_tool(admin, &["apply", &file]).await).contains("nothing to change")
        );
    }
    let targets = stdout_json(&run_tool(admin, &["--json", "target", "list"]).await);
    assert_eq!(targets.as_array().unwrap().len(), 18 + 4 + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_daemons_and_invalid_files_are_reported() {
    let unused_address = loopback::free_address();
    assert!(output_text(&run_tool(unused_address, &["status"]).await).contains("no answer from"));
    let folder = std::env::temp_dir().join(format!("tool-test-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("bad.json");
    std::fs::write(&file, "{\n  \"customers\": [\n    { \"id\": \"x\", \"rat\": 1 }\n  ]\n}")
        .unwrap();
    let admin = start_daemon().await;
    let out = run_tool(admin, &["apply", file.to_str().unwrap()]).await;
    assert_eq!(out.status.code(), Some(2));
    assert!(
        output_text(&out).contains("bad.json:3: field customers[0].rat"),
        "{}",
        output_text(&out)
    );
    let help = run_tool(admin, &["customer", "put", "--help"]).await;
    assert!(output_text(&help).contains("tokens a second over the whole fleet"));
    std::fs::remove_dir_all(folder).unwrap();
}
