//! A cold server gets no more than it bears from all gateways together.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{COLD_SLACK, Node, ready};
use crate::protocol::{COLD_MS, COLD_PER_S};

/// Time after its start in which a gateway knows too little of the fleet, and some more.
const SETTLED: Duration = Duration::from_millis(3_400);

/// Time within which a change is in force, in milliseconds.
const SOON: Duration = Duration::from_millis(600);

/// Requests in any second that break the bound.
const MOST: f64 = COLD_PER_S + COLD_SLACK;

/// Registers one server of each pool as a life that began then and is cold for so long.
fn register(service: &Service, backend: &Backend, born: u64, cold_ms: u64) {
    for pool in ["plain", "model"] {
        let value = format!("{pool} {} ready {born} {cold_ms}", backend.address);
        service.set(&format!("servers/{pool}-0"), Some(&value));
    }
}

#[expect(clippy::cast_precision_loss, reason = "a few requests")]
fn came(backend: &Backend, before: usize) -> f64 {
    (backend.state.heads().len() - before) as f64
}

#[gtest]
#[tokio::test]
async fn a_server_that_has_started_gets_what_it_bears_of_two_gateways_and_more_once_it_is_warm() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    let other = Node::spawn(&service, "g1").await;
    other.wait_ready().await;
    sleep(SETTLED).await;
    register(&service, &backend, 5, COLD_MS);
    sleep(SOON).await;
    let before = backend.state.heads().len();
    let begun = Instant::now();
    for _ in 0..8 {
        for path in ["/once/", "/stream/"] {
            // What is refused is refused at once.
            let _ = node.ask(path, "x-tokens: 10\r\n").await;
            let _ = other.ask(path, "x-tokens: 10\r\n").await;
        }
    }
    expect_that!(begun.elapsed(), lt(Duration::from_millis(800)));
    // Both pools have the server; each has a bound of its own.
    expect_that!(came(&backend, before), all!(gt(0.0), le(2.0 * MOST)));
    sleep(Duration::from_millis(COLD_MS)).await;
    let before = backend.state.heads().len();
    for _ in 0..20 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    expect_that!(came(&backend, before), eq(20.0));
}

#[gtest]
#[tokio::test]
async fn a_gateway_that_is_out_of_touch_or_has_just_started_sends_a_cold_server_nothing() {
    let cold = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[]).await;
    register(&service, &cold, 5, 30_000);
    sleep(SOON).await;
    expect_that!(
        node.ask("/once/", "").await.status,
        eq(503),
        "it has just started"
    );
    sleep(SETTLED).await;
    expect_that!(node.ask("/once/", "").await.status, eq(200));
    node.kv.set_failing(true);
    sleep(Duration::from_secs(3)).await;
    let before = cold.state.heads().len();
    for _ in 0..4 {
        expect_that!(node.ask("/once/", "").await.status, eq(503));
    }
    expect_that!(cold.state.heads().len(), eq(before));
}

#[gtest]
#[tokio::test]
async fn a_cold_server_is_not_asked_what_it_keeps() {
    let cold = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[]).await;
    register(&service, &cold, 5, 30_000);
    sleep(SOON).await;
    let _ = caller::open(node.callers, &caller::request("/once/", "")).await;
    expect_that!(cold.state.cached_parts_requests(), eq(0));
}
