//! Servers of an evacuated availability zone get no requests.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, ready};
use crate::protocol::COLD_MS;

/// Time within which a change is applied.
const PROPAGATION: Duration = Duration::from_millis(600);

/// Registers a server of each pool in a zone.
fn register(service: &Service, index: usize, backend: &Backend, zone: &str) {
    for pool in ["plain", "model"] {
        let key = format!("servers/{pool}-{index}");
        let value = format!("{pool} {} ready 1 0 {zone}", backend.address);
        service.set(&key, Some(&value));
    }
}

async fn spawn_in_two_zones() -> (Backend, Backend, std::sync::Arc<Service>, Node) {
    let (in_a, in_b) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[]).await;
    register(&service, 0, &in_a, "a");
    register(&service, 1, &in_b, "b");
    sleep(PROPAGATION).await;
    (in_a, in_b, service, node)
}

#[gtest]
#[tokio::test]
async fn an_evacuated_zone_gets_no_requests_until_the_key_is_deleted_and_is_cold_then() {
    let (in_a, in_b, service, node) = spawn_in_two_zones().await;
    sleep(Duration::from_millis(3_200)).await;
    service.set("evacuate/a", Some("{}"));
    sleep(PROPAGATION).await;
    let before = in_a.state.heads().len();
    for _ in 0..6 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    expect_that!(in_a.state.heads().len(), eq(before));
    // A server that registers during the evacuation gets no requests either.
    register(&service, 2, &in_a, "a");
    sleep(PROPAGATION).await;
    expect_that!(in_a.state.heads().len(), eq(before));
    for key in [
        "servers/plain-1",
        "servers/model-1",
        "servers/plain-2",
        "servers/model-2",
    ] {
        service.set(key, None);
    }
    sleep(PROPAGATION).await;
    expect_that!(
        node.send("/once/", "").await.status,
        eq(503),
        "the servers of the other zone are removed"
    );
    service.set("evacuate/a", None);
    sleep(PROPAGATION).await;
    let mut served = 0;
    for _ in 0..20 {
        served += u32::from(node.send("/once/", "").await.status == 200);
    }
    expect_that!(
        served,
        all!(gt(0), le(6)),
        "the zone's servers count as cold"
    );
    sleep(Duration::from_millis(COLD_MS)).await;
    for _ in 0..20 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    expect_that!(in_b.state.heads().len(), ge(6));
}

#[gtest]
#[tokio::test]
async fn evacuating_unknown_or_malformed_zones_has_no_effect() {
    let (_in_a, _in_b, service, node) = spawn_in_two_zones().await;
    for zone in ["nowhere", "", "a/b", "\u{fc} \""] {
        service.set(&format!("evacuate/{zone}"), Some("{}"));
    }
    sleep(PROPAGATION).await;
    for _ in 0..6 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn an_evacuation_holds_in_an_outage_and_on_a_new_gateway() {
    let (in_a, in_b, service, node) = spawn_in_two_zones().await;
    service.set("evacuate/a", Some("{}"));
    service.set("evacuate/b", Some("{}"));
    sleep(PROPAGATION).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(1_500)).await;
    expect_that!(node.send("/once/", "").await.status, eq(503));
    let started = Node::spawn(&service, "g1").await;
    started.wait_ready().await;
    expect_that!(started.send("/once/", "").await.status, eq(503));
    let heads = in_a.state.heads().len() + in_b.state.heads().len();
    expect_that!(heads, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_stream_is_not_resumed_in_an_evacuated_zone() {
    let (in_a, in_b) = (
        Backend::spawn(Behavior::HangStream).await,
        Backend::spawn(Behavior::Stream).await,
    );
    let (service, node) = ready(&[]).await;
    register(&service, 0, &in_a, "a");
    service.set("evacuate/b", Some("{}"));
    register(&service, 1, &in_b, "b");
    sleep(PROPAGATION).await;
    let streaming = node.send("/resumable/", "x-tokens: 10\r\n");
    let evacuation = async {
        sleep(Duration::from_millis(150)).await;
        service.set("evacuate/a", Some("{}"));
    };
    let (response, ()) = tokio::join!(streaming, evacuation);
    expect_that!(
        response.body.contains("id: 4"),
        eq(false),
        "all zones are evacuated"
    );
    expect_that!(in_b.state.heads().len(), eq(0));
}
