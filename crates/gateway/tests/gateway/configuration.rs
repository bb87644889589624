//! Changes in the key-value service are applied in time and never reverted.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{KEYS_FRESH_MS, Node, ready, register};
use crate::protocol::LONG_PROMPT;

const KEY: &str = "Authorization: Bearer secret\r\n";

/// Time within which a change is applied.
const PROPAGATION: Duration = Duration::from_millis(600);

#[gtest]
#[tokio::test]
async fn before_the_first_configuration_nothing_is_denied() {
    let service = Service::new();
    let node = Node::spawn(&service, "g0").await;
    for path in ["/keyed/", "/nowhere/", "/once/"] {
        expect_that!(node.send(path, "").await.status, eq(503), "{path}");
    }
    expect_that!(node.ready().await, eq(503));
    service.set("config", Some("1 secret"));
    node.wait_ready().await;
    expect_that!(node.send("/nowhere/", "").await.status, eq(404));
}

#[gtest]
#[tokio::test]
async fn a_revoked_key_stops_working_and_an_older_version_does_not_restore_it() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    expect_that!(node.send("/keyed/", KEY).await.status, eq(200));
    service.set("config", Some("7 other"));
    sleep(PROPAGATION).await;
    expect_that!(node.send("/keyed/", KEY).await.status, eq(401));
    service.set("config", Some("6 secret"));
    service.compact();
    sleep(PROPAGATION).await;
    expect_that!(node.send("/keyed/", KEY).await.status, eq(401));
}

#[gtest]
#[tokio::test]
async fn keys_stop_working_on_a_disconnected_gateway() {
    for is_hanging in [false, true] {
        let backend = Backend::spawn(Behavior::Answer).await;
        let (_service, node) = ready(&[&backend]).await;
        if is_hanging {
            node.kv.set_hanging(true);
        } else {
            node.kv.set_failing(true);
        }
        sleep(Duration::from_millis(KEYS_FRESH_MS + 100)).await;
        expect_that!(node.send("/keyed/", KEY).await.status, eq(503));
        expect_that!(
            node.send("/keyed/", "").await.status,
            eq(503),
            "a missing key is not denied either"
        );
        expect_that!(
            node.send("/once/", "").await.status,
            eq(200),
            "no key is needed"
        );
        expect_that!(node.ready().await, eq(503));
        node.kv.set_failing(false);
        node.kv.set_hanging(false);
        node.wait_ready().await;
        expect_that!(node.send("/keyed/", KEY).await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn compacted_changes_are_found_by_a_new_listing() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(900)).await;
    service.set("config", Some("9 other"));
    service.set("servers/plain-0", None);
    service.compact();
    node.kv.set_failing(false);
    sleep(Duration::from_millis(2_600)).await;
    expect_that!(node.send("/keyed/", KEY).await.status, eq(401));
    expect_that!(node.send("/once/", "").await.status, eq(503));
}

#[gtest]
#[tokio::test]
async fn a_leaving_or_removed_server_gets_no_new_requests() {
    for state in ["leaving", "gone"] {
        let (leaving, other) = (
            Backend::spawn(Behavior::Answer).await,
            Backend::spawn(Behavior::Answer).await,
        );
        let (service, node) = ready(&[&leaving, &other]).await;
        if state == "gone" {
            service.set("servers/plain-0", None);
        } else {
            register(&service, 0, &leaving, state);
        }
        sleep(PROPAGATION).await;
        let before = leaving.state.heads().len();
        for _ in 0..6 {
            expect_that!(node.send("/once/", "").await.status, eq(200), "{state}");
        }
        expect_that!(leaving.state.heads().len(), eq(before), "{state}");
    }
}

#[gtest]
#[tokio::test]
async fn servers_that_lapse_in_an_outage_have_time_to_register_again() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(900)).await;
    service.set("servers/plain-0", None);
    node.kv.set_failing(false);
    sleep(PROPAGATION + PROPAGATION).await;
    expect_that!(node.send("/once/", "").await.status, eq(200));
    sleep(Duration::from_millis(2_400)).await;
    expect_that!(
        node.send("/once/", "").await.status,
        eq(503),
        "the server did not register again"
    );
}

/// Time within which a change reaches a gateway that is waiting for it; shorter than the time for
/// which callers wait.
const FAST_PROPAGATION: Duration = Duration::from_millis(250);

/// Registers one server of each pool as an instance with this start time.
fn register_instance(service: &Service, backend: &Backend, started: u64) {
    for pool in ["plain", "model"] {
        let value = format!("{pool} {} ready {started}", backend.address);
        service.set(&format!("servers/{pool}-0"), Some(&value));
    }
}

#[gtest]
#[tokio::test]
async fn a_restarted_server_has_none_of_its_earlier_load() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (service, node) = ready(&[&backend]).await;
    register_instance(&service, &backend, 5);
    sleep(PROPAGATION).await;
    let long = format!("x-tokens: {LONG_PROMPT}\r\n");
    let _long = caller::open(node.callers, &caller::request("/stream/", &long)).await;
    sleep(FAST_PROPAGATION).await;
    let short = "x-tokens: 2000\r\n";
    expect_that!(
        node.send("/stream/", short).await.status,
        eq(503),
        "the server is processing the long prompt"
    );
    register_instance(&service, &backend, 4);
    sleep(FAST_PROPAGATION).await;
    expect_that!(
        node.send("/stream/", short).await.status,
        eq(503),
        "an earlier instance is ignored"
    );
    register_instance(&service, &backend, 6);
    sleep(FAST_PROPAGATION).await;
    let before = backend.state.heads().len();
    let request = caller::request("/stream/", short);
    let _short = caller::open(node.callers, &request).await;
    sleep(FAST_PROPAGATION).await;
    expect_that!(backend.state.heads().len(), eq(before + 1));
}

#[gtest]
#[tokio::test]
async fn an_unreadable_registration_removes_only_its_own_server() {
    let (first, second) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&first, &second]).await;
    service.set("servers/plain-0", Some("plain"));
    service.set("servers/other-writer", Some("\u{7}"));
    sleep(PROPAGATION).await;
    let before = first.state.heads().len();
    for _ in 0..6 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    expect_that!(first.state.heads().len(), eq(before));
    register(&service, 0, &first, "ready");
    service.set("servers/plain-1", None);
    sleep(PROPAGATION).await;
    expect_that!(
        node.send("/once/", "").await.status,
        eq(200),
        "the server registered again"
    );
    expect_that!(first.state.heads().len(), gt(before));
}
