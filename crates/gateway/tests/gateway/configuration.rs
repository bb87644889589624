//! What the key-value service says is in force in time and never goes back.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{KEYS_FRESH_MS, Node, ready, register};
use crate::protocol::LONG_PROMPT;

const KEY: &str = "Authorization: Bearer secret\r\n";

/// Time within which a change is in force, in milliseconds.
const SOON: Duration = Duration::from_millis(600);

#[gtest]
#[tokio::test]
async fn before_the_first_configuration_nothing_is_denied() {
    let service = Service::new();
    let node = Node::spawn(&service, "g0").await;
    for path in ["/keyed/", "/nowhere/", "/once/"] {
        expect_that!(node.ask(path, "").await.status, eq(503), "{path}");
    }
    expect_that!(node.ready().await, eq(503));
    service.set("config", Some("1 secret"));
    node.wait_ready().await;
    expect_that!(node.ask("/nowhere/", "").await.status, eq(404));
}

#[gtest]
#[tokio::test]
async fn a_key_that_is_taken_away_stops_working_and_an_older_version_does_not_bring_it_back() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    expect_that!(node.ask("/keyed/", KEY).await.status, eq(200));
    service.set("config", Some("7 other"));
    sleep(SOON).await;
    expect_that!(node.ask("/keyed/", KEY).await.status, eq(401));
    service.set("config", Some("6 secret"));
    service.compact();
    sleep(SOON).await;
    expect_that!(node.ask("/keyed/", KEY).await.status, eq(401));
}

#[gtest]
#[tokio::test]
async fn keys_stop_working_on_a_node_that_is_cut_off() {
    for is_silent in [false, true] {
        let backend = Backend::spawn(Behavior::Answer).await;
        let (_service, node) = ready(&[&backend]).await;
        if is_silent {
            node.kv.set_hanging(true);
        } else {
            node.kv.set_failing(true);
        }
        sleep(Duration::from_millis(KEYS_FRESH_MS + 100)).await;
        expect_that!(node.ask("/keyed/", KEY).await.status, eq(503));
        expect_that!(
            node.ask("/keyed/", "").await.status,
            eq(503),
            "no denial either"
        );
        expect_that!(
            node.ask("/once/", "").await.status,
            eq(200),
            "no key is needed"
        );
        expect_that!(node.ready().await, eq(503));
        node.kv.set_failing(false);
        node.kv.set_hanging(false);
        node.wait_ready().await;
        expect_that!(node.ask("/keyed/", KEY).await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn what_was_written_while_the_history_was_lost_is_learnt() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(900)).await;
    service.set("config", Some("9 other"));
    service.set("servers/plain-0", None);
    service.compact();
    node.kv.set_failing(false);
    sleep(Duration::from_millis(2_600)).await;
    expect_that!(node.ask("/keyed/", KEY).await.status, eq(401));
    expect_that!(node.ask("/once/", "").await.status, eq(503));
}

#[gtest]
#[tokio::test]
async fn a_leaving_or_ended_server_gets_nothing_new() {
    for state in ["leaving", "gone"] {
        let (leaving, stays) = (
            Backend::spawn(Behavior::Answer).await,
            Backend::spawn(Behavior::Answer).await,
        );
        let (service, node) = ready(&[&leaving, &stays]).await;
        if state == "gone" {
            service.set("servers/plain-0", None);
        } else {
            register(&service, 0, &leaving, state);
        }
        sleep(SOON).await;
        let before = leaving.state.heads().len();
        for _ in 0..6 {
            expect_that!(node.ask("/once/", "").await.status, eq(200), "{state}");
        }
        expect_that!(leaving.state.heads().len(), eq(before), "{state}");
    }
}

#[gtest]
#[tokio::test]
async fn servers_that_lapse_while_the_service_is_away_have_time_to_register_again() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(900)).await;
    service.set("servers/plain-0", None);
    node.kv.set_failing(false);
    sleep(SOON + SOON).await;
    expect_that!(node.ask("/once/", "").await.status, eq(200));
    sleep(Duration::from_millis(2_400)).await;
    expect_that!(
        node.ask("/once/", "").await.status,
        eq(503),
        "it did not come back"
    );
}

/// Time in which a change that is waited for comes into force; the callers of these tests wait
/// for some of it.
const AT_ONCE: Duration = Duration::from_millis(250);

/// Registers one server of each pool as a life that began then.
fn register_life(service: &Service, backend: &Backend, born: u64) {
    for pool in ["plain", "model"] {
        let value = format!("{pool} {} ready {born}", backend.address);
        service.set(&format!("servers/{pool}-0"), Some(&value));
    }
}

#[gtest]
#[tokio::test]
async fn a_server_that_starts_again_under_its_name_has_nothing_of_before() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (service, node) = ready(&[&backend]).await;
    register_life(&service, &backend, 5);
    sleep(SOON).await;
    let long = format!("x-tokens: {LONG_PROMPT}\r\n");
    let _long = caller::open(node.callers, &caller::request("/stream/", &long)).await;
    sleep(AT_ONCE).await;
    let short = "x-tokens: 2000\r\n";
    expect_that!(
        node.ask("/stream/", short).await.status,
        eq(503),
        "it reads"
    );
    register_life(&service, &backend, 4);
    sleep(AT_ONCE).await;
    expect_that!(
        node.ask("/stream/", short).await.status,
        eq(503),
        "an earlier life"
    );
    register_life(&service, &backend, 6);
    sleep(AT_ONCE).await;
    let before = backend.state.heads().len();
    let request = caller::request("/stream/", short);
    let _short = caller::open(node.callers, &request).await;
    sleep(AT_ONCE).await;
    expect_that!(backend.state.heads().len(), eq(before + 1));
}

#[gtest]
#[tokio::test]
async fn an_unreadable_entry_ends_the_use_of_a_server_and_of_no_other() {
    let (first, second) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&first, &second]).await;
    service.set("servers/plain-0", Some("plain"));
    service.set("servers/other-writer", Some("\u{7}"));
    sleep(SOON).await;
    let before = first.state.heads().len();
    for _ in 0..6 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    expect_that!(first.state.heads().len(), eq(before));
    register(&service, 0, &first, "ready");
    service.set("servers/plain-1", None);
    sleep(SOON).await;
    expect_that!(
        node.ask("/once/", "").await.status,
        eq(200),
        "it registered again"
    );
    expect_that!(first.state.heads().len(), gt(before));
}
