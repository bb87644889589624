//! Graceful shutdown.

use googletest::prelude::*;
use serde_json::json;

use crate::caller::{completion, connect, read_response, spawn};
use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{Fleet, MODEL, customer_id, wait_until};

#[gtest]
#[tokio::test]
async fn shutdown_refuses_queued_requests_and_completes_responses() {
    let mut fake = FakeSidecar::bind("s1", MODEL, 1).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"drain_ms": 1000})).await;
    fake.on_next_request(Behavior::Delay("whole"));
    let running = spawn(fleet.address(), completion());
    fake.next_request().await;
    let queued = spawn(fleet.address(), completion());
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    let address = fleet.address();
    let stopped = tokio::spawn(fleet.router.stop());
    let refused = queued.await.unwrap();
    let refusal = (503, "stopping".to_owned(), "not-run");
    expect_that!(refused.refusal(), eq(&refusal));
    expect_that!(refused.header("retry-after"), eq("1"));
    expect_that!(
        tokio::net::TcpStream::connect(address).await,
        err(anything())
    );
    fake.release();
    let response = running.await.unwrap();
    expect_that!(response.body, ok(eq("whole")));
    stopped.await.unwrap();
}

#[gtest]
#[tokio::test]
async fn queued_requests_may_start_during_shutdown() {
    let mut fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"drain_ms": 60_000})).await;
    let queued = spawn(fleet.address(), completion());
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    let stopped = tokio::spawn(fleet.router.stop());
    fake.grant(1, customer_id());
    fake.next_request().await;
    expect_that!(queued.await.unwrap().status.as_u16(), eq(200));
    stopped.await.unwrap();
}

#[gtest]
#[tokio::test]
async fn requests_without_a_response_at_the_drain_deadline_have_unknown_outcome() {
    let mut fake = FakeSidecar::bind("s1", MODEL, 1).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"drain_ms": 400})).await;
    fake.on_next_request(Behavior::NoResponse);
    let running = spawn(fleet.address(), completion());
    fake.next_request().await;
    fleet.router.stop().await;
    let refusal = (503, "stopping".to_owned(), "unknown");
    expect_that!(running.await.unwrap().refusal(), eq(&refusal));
}

#[gtest]
#[tokio::test]
async fn shutdown_closes_open_connections_after_a_response() {
    let fake = FakeSidecar::bind("s1", MODEL, 1).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    let address = fleet.address();
    let mut connection = connect(address).await;
    let before = read_response(connection.send_request(completion()).await.unwrap()).await;
    expect_that!(before.header("connection"), eq(""));
    let inspect = fleet.router.inspect();
    let stopped = tokio::spawn(fleet.router.stop());
    wait_until(|| !inspect.is_ready()).await;
    let after = read_response(connection.send_request(completion()).await.unwrap()).await;
    expect_that!(
        after.refusal(),
        eq(&(503, "stopping".to_owned(), "not-run"))
    );
    expect_that!(after.header("connection"), eq("close"));
    stopped.await.unwrap();
}
