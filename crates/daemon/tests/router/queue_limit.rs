//! Limits of queued requests.

use googletest::prelude::*;
use serde_json::json;

use crate::caller::{completion, send, spawn, with_header};
use crate::fake_sidecar::FakeSidecar;
use crate::fleet::{Fleet, MODEL, OTHER_CUSTOMER, SERVICE, other_customer_id};

fn completion_of_other() -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    with_header(
        completion(),
        "authorization",
        &format!("Bearer key-{OTHER_CUSTOMER}"),
    )
}

#[gtest]
#[tokio::test]
async fn customer_at_its_queue_limit_does_not_affect_others() {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let changes = json!({"limits": {"queue_per_customer": 2}});
    let fleet = Fleet::spawn(&[&fake], &changes).await;
    let mut queued = Vec::new();
    for count in 1..=2 {
        queued.push(spawn(fleet.address(), completion()));
        fleet.wait_queued(count).await;
    }
    for _ in 0..20 {
        let response = send(fleet.address(), completion()).await;
        let refusal = (429, "queue_full".to_owned(), "not-run");
        expect_that!(response.refusal(), eq(&refusal));
        expect_that!(response.header("retry-after"), not(eq("")));
    }
    let other_caller = spawn(fleet.address(), completion_of_other());
    fake.wait_declared(other_customer_id(), [0, 1, 0]).await;
    fake.grant(1, other_customer_id());
    expect_that!(other_caller.await.unwrap().status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn full_router_displaces_a_request_of_the_largest_customer() {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let changes = json!({"limits": {"queue_per_customer": 9, "queue_total": 3}});
    let fleet = Fleet::spawn(&[&fake], &changes).await;
    let mut queued = Vec::new();
    for count in 1..=3 {
        queued.push(spawn(fleet.address(), completion()));
        fleet.wait_queued(count).await;
    }
    let response = send(fleet.address(), completion()).await;
    let refusal = (429, "router_full".to_owned(), "not-run");
    expect_that!(response.refusal(), eq(&refusal));
    let other_caller = spawn(fleet.address(), completion_of_other());
    fake.wait_declared(other_customer_id(), [0, 1, 0]).await;
    // The last queued request of the larger customer is displaced.
    let displaced = queued.pop().unwrap().await.unwrap();
    let refusal = (429, "displaced".to_owned(), "not-run");
    expect_that!(displaced.refusal(), eq(&refusal));
    fleet.wait_queued(3).await;
    fake.grant(1, other_customer_id());
    expect_that!(other_caller.await.unwrap().status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn refused_request_with_a_callers_key_has_unknown_outcome() {
    let fake = FakeSidecar::bind("b1", SERVICE, 0).await;
    let changes = json!({"limits": {"queue_per_customer": 0}});
    let fleet = Fleet::spawn(&[&fake], &changes).await;
    let rows = [(None, "not-run"), (Some("k"), "unknown")];
    for (key, outcome) in rows {
        let mut request = crate::caller::post("/slots", "book");
        if let Some(key) = key {
            request = with_header(request, "idempotency-key", key);
        }
        let response = send(fleet.address(), request).await;
        expect_that!(response.refusal().2, eq(outcome), "{key:?}");
        expect_that!(response.status.as_u16(), eq(429), "{key:?}");
    }
}
