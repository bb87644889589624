//! All gateways together respect the request limit of a cold server.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{COLD_SLACK, Node, ready};
use crate::protocol::{COLD_MS, COLD_PER_S};

/// Time after its start for a gateway to learn the fleet membership, with a margin.
const SETTLED: Duration = Duration::from_millis(3_400);

/// Time for a change to take effect.
const PROPAGATION: Duration = Duration::from_millis(600);

/// Maximum requests in any second.
const MAX_PER_S: f64 = COLD_PER_S + COLD_SLACK;

/// Registers a server in both pools with a start time and a cold period.
fn register(service: &Service, backend: &Backend, started: u64, cold_ms: u64) {
    for pool in ["plain", "model"] {
        let value = format!("{pool} {} ready {started} {cold_ms}", backend.address);
        service.set(&format!("servers/{pool}-0"), Some(&value));
    }
}

#[expect(clippy::cast_precision_loss, reason = "a few requests")]
fn requests_since(backend: &Backend, before: usize) -> f64 {
    (backend.state.heads().len() - before) as f64
}

#[gtest]
#[tokio::test]
async fn two_gateways_limit_requests_to_a_cold_server_until_it_is_warm() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    let other = Node::spawn(&service, "g1").await;
    other.wait_ready().await;
    sleep(SETTLED).await;
    register(&service, &backend, 5, COLD_MS);
    sleep(PROPAGATION).await;
    let before = backend.state.heads().len();
    let started_at = Instant::now();
    for _ in 0..8 {
        for path in ["/once/", "/stream/"] {
            // Rejections are immediate.
            let _ = node.send(path, "x-tokens: 10\r\n").await;
            let _ = other.send(path, "x-tokens: 10\r\n").await;
        }
    }
    expect_that!(started_at.elapsed(), lt(Duration::from_millis(800)));
    // The server is in both pools, which have separate limits.
    expect_that!(
        requests_since(&backend, before),
        all!(gt(0.0), le(2.0 * MAX_PER_S))
    );
    sleep(Duration::from_millis(COLD_MS)).await;
    let before = backend.state.heads().len();
    for _ in 0..20 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    expect_that!(requests_since(&backend, before), eq(20.0));
}

#[gtest]
#[tokio::test]
async fn a_gateway_without_a_fresh_view_or_just_started_sends_a_cold_server_nothing() {
    let cold = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[]).await;
    register(&service, &cold, 5, 30_000);
    sleep(PROPAGATION).await;
    expect_that!(
        node.send("/once/", "").await.status,
        eq(503),
        "just started"
    );
    sleep(SETTLED).await;
    expect_that!(node.send("/once/", "").await.status, eq(200));
    node.kv.set_failing(true);
    sleep(Duration::from_secs(3)).await;
    let before = cold.state.heads().len();
    for _ in 0..4 {
        expect_that!(node.send("/once/", "").await.status, eq(503));
    }
    expect_that!(cold.state.heads().len(), eq(before));
}

#[gtest]
#[tokio::test]
async fn a_cold_server_gets_no_request_for_its_cached_parts() {
    let cold = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[]).await;
    register(&service, &cold, 5, 30_000);
    sleep(PROPAGATION).await;
    let _ = caller::open(node.callers, &caller::request("/once/", "")).await;
    expect_that!(cold.state.cached_parts_requests(), eq(0));
}
