//! Commands, output formats and exit codes.

use googletest::prelude::*;

use crate::fleet::{CLOSED_PORT, Fleet, run_client};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_is_added_drained_and_resumed() {
    let fleet = Fleet::start().await;
    fleet.run_ok("pool add chat --kind model").await;
    fleet
        .run_ok(&format!("{} --wait", fleet.add_server_command()))
        .await;
    let status = fleet.run_ok("status --json").await.json();
    let nodes = status["answer"]["status"]["nodes"].as_array().cloned();
    let nodes = nodes.expect("a list");
    let names: Vec<&str> = nodes
        .iter()
        .filter_map(|node| node["name"].as_str())
        .collect();
    assert_that!(
        names,
        elements_are![eq(&"entry-1"), eq(&"entry-2"), eq(&"m-1")]
    );
    assert_that!(nodes.iter().all(|node| node["up"] == true), eq(true));
    let drained = fleet.run_ok("server drain m-1 --wait").await;
    assert_that!(
        drained.stdout,
        ends_with("server/m-1: applied by every node\n")
    );
    let status = fleet.run_ok("status").await;
    assert_that!(status.stdout, contains_regex(r"m-1 +sidecar +a +leaving"));
    fleet.run_ok("server resume m-1 --wait").await;
    let waiting = fleet.run_ok("waiting").await;
    assert_that!(waiting.stdout, eq("router entry-1: no queued requests\n"));
    let servers = fleet.run_ok("server list").await;
    assert_that!(servers.stdout, contains_regex(r"m-1 +chat +a +active +4"));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generated_customer_key_is_printed_only_once() {
    let fleet = Fleet::start().await;
    let added = fleet.run_ok("customer add scouts --wait").await;
    let key = added
        .stderr
        .trim()
        .rsplit(' ')
        .next()
        .unwrap_or_default()
        .to_owned();
    assert_that!(key.len(), eq(48));
    let shown = fleet.run_ok("customer show scouts --json").await;
    assert_that!(shown.stdout, not(contains_substring(key.as_str())));
    let hash = mulberryyoke_model::KeyHash::of(&key).0;
    assert_that!(shown.stdout, contains_substring(hash));
    let history = fleet.run_ok("config history").await;
    assert_that!(history.stdout, not(contains_substring(key.as_str())));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_code_reflects_the_kind_of_error() {
    let fleet = Fleet::start().await;
    let table = [
        ("status", 0),
        ("--version", 0),
        ("customer add --help", 0),
        ("customer show nobody", 1),
        ("customer remove nobody --json", 1),
        ("customer burn x", 2),
        ("--timeout x status", 2),
        ("check /nowhere.json", 2),
    ];
    for (line, code) in table {
        let output = fleet.run(line).await;
        assert_that!(output.code, eq(Some(code)), "{line}");
    }
    let denied = fleet.run_as("no-such-key-anywhere", 0, "status").await;
    assert_that!(denied.code, eq(Some(1)));
    assert_that!(denied.stderr, contains_substring("denied"));
    let missing = fleet.run("customer show nobody --json").await;
    assert_that!(missing.json()["error"]["code"], eq("missing"));
    let unreachable = run_client(&[CLOSED_PORT], "x", "--timeout 1 status").await;
    assert_that!(unreachable.code, eq(Some(3)));
    fleet.stop().await;
}
