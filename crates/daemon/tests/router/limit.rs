//! Bounds on what waits.

use googletest::prelude::*;
use serde_json::json;

use crate::caller::{completion, send, spawn, with};
use crate::fake_sidecar::FakeSidecar;
use crate::fleet::{Fleet, MODEL, OTHER_CUSTOMER, SERVICE, other_customer_id};

fn of_other() -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    with(
        completion(),
        "authorization",
        &format!("Bearer key-{OTHER_CUSTOMER}"),
    )
}

#[gtest]
#[tokio::test]
async fn a_flood_is_refused_at_once_and_costs_others_nothing() {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let limits = json!({"limits": {"queue_per_customer": 2}});
    let fleet = Fleet::spawn(&[&fake], &limits).await;
    let mut waiting = Vec::new();
    for count in 1..=2 {
        waiting.push(spawn(fleet.address(), completion()));
        fleet.wait_queued(count).await;
    }
    for _ in 0..20 {
        let reply = send(fleet.address(), completion()).await;
        let refusal = (429, "queue_full".to_owned(), "not-run");
        expect_that!(reply.refusal(), eq(&refusal));
        expect_that!(reply.header("retry-after"), not(eq("")));
    }
    let served = spawn(fleet.address(), of_other());
    fake.wait_declared(other_customer_id(), [0, 1, 0]).await;
    fake.grant(1, other_customer_id());
    expect_that!(served.await.unwrap().status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn a_full_router_makes_room_for_a_small_customer() {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let limits = json!({"limits": {"queue_per_customer": 9, "queue_total": 3}});
    let fleet = Fleet::spawn(&[&fake], &limits).await;
    let mut waiting = Vec::new();
    for count in 1..=3 {
        waiting.push(spawn(fleet.address(), completion()));
        fleet.wait_queued(count).await;
    }
    let reply = send(fleet.address(), completion()).await;
    let refusal = (429, "router_full".to_owned(), "not-run");
    expect_that!(reply.refusal(), eq(&refusal));
    let small = spawn(fleet.address(), of_other());
    fake.wait_declared(other_customer_id(), [0, 1, 0]).await;
    // The last of the large customer has gone.
    let displaced = waiting.pop().unwrap().await.unwrap();
    let refusal = (429, "displaced".to_owned(), "not-run");
    expect_that!(displaced.refusal(), eq(&refusal));
    fleet.wait_queued(3).await;
    fake.grant(1, other_customer_id());
    expect_that!(small.await.unwrap().status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn a_refused_key_may_have_run_by_another_request() {
    let fake = FakeSidecar::bind("b1", SERVICE, 0).await;
    let limits = json!({"limits": {"queue_per_customer": 0}});
    let fleet = Fleet::spawn(&[&fake], &limits).await;
    let rows = [(None, "not-run"), (Some("k"), "unknown")];
    for (key, outcome) in rows {
        let mut request = crate::caller::post("/slots", "book");
        if let Some(key) = key {
            request = with(request, "idempotency-key", key);
        }
        let reply = send(fleet.address(), request).await;
        expect_that!(reply.refusal().2, eq(outcome), "{key:?}");
        expect_that!(reply.status.as_u16(), eq(429), "{key:?}");
    }
}
