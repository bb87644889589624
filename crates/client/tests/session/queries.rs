//! Questions, output forms and exit codes.

use googletest::prelude::*;

use crate::fleet::{Fleet, client};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_session_configures_drains_and_asks() {
    let fleet = Fleet::open().await;
    fleet.done("pool add chat --kind model").await;
    fleet.done(&format!("{} --wait", fleet.add_server())).await;
    let status = fleet.done("status --json").await.json();
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
    let drained = fleet.done("server drain m-1 --wait").await;
    assert_that!(
        drained.out,
        ends_with("server/m-1: applied by every node\n")
    );
    let status = fleet.done("status").await;
    assert_that!(status.out, contains_regex(r"m-1 +sidecar +a +leaving"));
    fleet.done("server resume m-1 --wait").await;
    let waiting = fleet.done("waiting").await;
    assert_that!(waiting.out, eq("router entry-1: no queued requests\n"));
    let servers = fleet.done("server list").await;
    assert_that!(servers.out, contains_regex(r"m-1 +chat +a +active +4"));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_customer_gets_a_key_that_is_shown_once() {
    let fleet = Fleet::open().await;
    let added = fleet.done("customer add scouts --wait").await;
    let key = added
        .err
        .trim()
        .rsplit(' ')
        .next()
        .unwrap_or_default()
        .to_owned();
    assert_that!(key.len(), eq(48));
    let shown = fleet.done("customer show scouts --json").await;
    assert_that!(shown.out, not(contains_substring(key.as_str())));
    let hash = mulberryyoke_model::KeyHash::of(&key).0;
    assert_that!(shown.out, contains_substring(hash));
    let history = fleet.done("config history").await;
    assert_that!(history.out, not(contains_substring(key.as_str())));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_codes_tell_what_happened() {
    let fleet = Fleet::open().await;
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
        let said = fleet.run(line).await;
        assert_that!(said.code, eq(Some(code)), "{line}");
    }
    let denied = fleet.run_as("no-such-key-anywhere", 0, "status").await;
    assert_that!(denied.code, eq(Some(1)));
    assert_that!(denied.err, contains_substring("denied"));
    let refused = fleet.run("customer show nobody --json").await;
    assert_that!(refused.json()["error"]["code"], eq("missing"));
    let unreachable = client(&["127.0.0.1:9"], "x", "--timeout 1 status").await;
    assert_that!(unreachable.code, eq(Some(3)));
    fleet.stop().await;
}
