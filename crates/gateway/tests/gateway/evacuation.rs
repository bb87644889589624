//! Nothing is sent to the servers of an availability zone that is evacuated.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, ready};
use crate::protocol::COLD_MS;

/// Time within which a change is in force, in milliseconds.
const SOON: Duration = Duration::from_millis(600);

/// Registers a server of each pool in a zone.
fn register(service: &Service, index: usize, backend: &Backend, zone: &str) {
    for pool in ["plain", "model"] {
        let key = format!("servers/{pool}-{index}");
        let value = format!("{pool} {} ready 1 0 {zone}", backend.address);
        service.set(&key, Some(&value));
    }
}

async fn in_two_zones() -> (Backend, Backend, std::sync::Arc<Service>, Node) {
    let (near, far) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[]).await;
    register(&service, 0, &near, "a");
    register(&service, 1, &far, "b");
    sleep(SOON).await;
    (near, far, service, node)
}

#[gtest]
#[tokio::test]
async fn an_evacuated_zone_gets_nothing_until_the_key_is_gone_and_is_cold_then() {
    let (near, far, service, node) = in_two_zones().await;
    sleep(Duration::from_millis(3_200)).await;
    service.set("evacuate/a", Some("{}"));
    sleep(SOON).await;
    let before = near.state.heads().len();
    for _ in 0..6 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    expect_that!(near.state.heads().len(), eq(before));
    // A server that registers meanwhile is one of the zone as well.
    register(&service, 2, &near, "a");
    sleep(SOON).await;
    expect_that!(near.state.heads().len(), eq(before));
    for key in [
        "servers/plain-1",
        "servers/model-1",
        "servers/plain-2",
        "servers/model-2",
    ] {
        service.set(key, None);
    }
    sleep(SOON).await;
    expect_that!(
        node.ask("/once/", "").await.status,
        eq(503),
        "the last zone that is left"
    );
    service.set("evacuate/a", None);
    sleep(SOON).await;
    let mut served = 0;
    for _ in 0..20 {
        served += u32::from(node.ask("/once/", "").await.status == 200);
    }
    expect_that!(served, all!(gt(0), le(6)), "its servers may be cold");
    sleep(Duration::from_millis(COLD_MS)).await;
    for _ in 0..20 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    expect_that!(far.state.heads().len(), ge(6));
}

#[gtest]
#[tokio::test]
async fn a_zone_that_nobody_knows_and_a_name_that_is_none_do_no_harm() {
    let (_near, _far, service, node) = in_two_zones().await;
    for zone in ["nowhere", "", "a/b", "\u{fc} \""] {
        service.set(&format!("evacuate/{zone}"), Some("{}"));
    }
    sleep(SOON).await;
    for _ in 0..6 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn an_evacuation_holds_while_the_service_is_away_and_at_a_gateway_that_starts() {
    let (near, far, service, node) = in_two_zones().await;
    service.set("evacuate/a", Some("{}"));
    service.set("evacuate/b", Some("{}"));
    sleep(SOON).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(1_500)).await;
    expect_that!(node.ask("/once/", "").await.status, eq(503));
    let started = Node::spawn(&service, "g1").await;
    started.wait_ready().await;
    expect_that!(started.ask("/once/", "").await.status, eq(503));
    let heads = near.state.heads().len() + far.state.heads().len();
    expect_that!(heads, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_resumed_stream_goes_on_outside_the_zone() {
    let (near, far) = (
        Backend::spawn(Behavior::HangStream).await,
        Backend::spawn(Behavior::Stream).await,
    );
    let (service, node) = ready(&[]).await;
    register(&service, 0, &near, "a");
    service.set("evacuate/b", Some("{}"));
    register(&service, 1, &far, "b");
    sleep(SOON).await;
    let streaming = node.ask("/resumable/", "x-tokens: 10\r\n");
    let moving = async {
        sleep(Duration::from_millis(150)).await;
        service.set("evacuate/a", Some("{}"));
    };
    let (reply, ()) = tokio::join!(streaming, moving);
    expect_that!(reply.body.contains("id: 4"), eq(false), "no zone is left");
    expect_that!(far.state.heads().len(), eq(0));
}
