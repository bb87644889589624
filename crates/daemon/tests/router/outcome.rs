//! Outcomes reported when servers fail.

use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::Method;
use mulberryyoke_model::Outcome;
use mulberryyoke_wire::Verdict;
use serde_json::{Value, json};

use crate::caller::{FullResponse, completion, post, read_response, receive_head, send, spawn};
use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{Fleet, MODEL, SERVICE};

async fn spawn_pair(pool: &str, changes: &Value) -> (FakeSidecar, FakeSidecar, Fleet) {
    let first = FakeSidecar::bind("s1", pool, 4).await;
    let second = FakeSidecar::bind("s2", pool, 4).await;
    let fleet = Fleet::spawn(&[&first, &second], changes).await;
    (first, second, fleet)
}

/// Queries the outcome of the request that got `response`.
async fn outcome(fleet: &Fleet, response: &FullResponse) -> String {
    outcome_of(fleet, response.header("x-request-id")).await
}

/// Queries the outcome of a request by its id.
async fn outcome_of(fleet: &Fleet, id: &str) -> String {
    let mut request = post(&format!("/v1/outcomes/{id}"), "");
    *request.method_mut() = Method::GET;
    let response = send(fleet.address(), request).await;
    let body: Value = serde_json::from_str(response.body.as_deref().unwrap()).unwrap();
    body["outcome"].as_str().unwrap_or_default().to_owned()
}

#[gtest]
#[tokio::test]
async fn truncated_response_ends_with_an_error() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    fake.on_next_request(Behavior::Abort("data: 1\n\n"));
    let response = receive_head(fleet.address(), completion()).await;
    fake.release();
    let response = read_response(response).await;
    expect_that!(response.status.as_u16(), eq(200));
    expect_that!(response.body, err(anything()));
    fake.set_withdrawal(Outcome::Cut, false);
    expect_that!(outcome(&fleet, &response).await, eq("cut"));
}

/// The caller has received a response of known length before the server's stream ends.
#[gtest]
#[tokio::test]
async fn response_of_known_length_completes_before_the_stream_ends() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    fake.on_next_request(Behavior::HoldEnd("whole"));
    let response = send(fleet.address(), completion()).await;
    expect_that!(response.body.as_deref(), ok(eq("whole")));
    expect_that!(outcome(&fleet, &response).await, eq("ran"));
    fake.release();
}

#[gtest]
#[tokio::test]
async fn idempotent_requests_are_retried() {
    let rows = [
        Behavior::Verdict(Verdict::Unreachable),
        Behavior::Verdict(Verdict::Withdrawn),
        Behavior::Verdict(Verdict::Interrupted),
    ];
    for behavior in rows {
        let fake = FakeSidecar::bind("s1", MODEL, 4).await;
        let fleet = Fleet::spawn(&[&fake], &json!({})).await;
        fake.on_next_request(behavior.clone());
        let caller = spawn(fleet.address(), completion());
        fake.wait_declared(crate::fleet::customer_id(), [0, 1, 0])
            .await;
        fake.grant(1, crate::fleet::customer_id());
        let response = caller.await.unwrap();
        expect_that!(response.status.as_u16(), eq(200), "{behavior:?}");
        expect_that!(outcome(&fleet, &response).await, eq("ran"), "{behavior:?}");
    }
}

#[gtest]
#[tokio::test]
async fn refusal_without_retry_budget_reports_the_outcome() {
    let rows = [
        (Verdict::Unreachable, "not-run"),
        (Verdict::Withdrawn, "not-run"),
        (Verdict::Interrupted, "unknown"),
    ];
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"limits": {"retry_percent": 0}})).await;
    for (verdict, expected) in rows {
        fake.on_next_request(Behavior::Verdict(verdict));
        let response = send(fleet.address(), completion()).await;
        let refusal = (503, "unreachable".to_owned(), expected);
        expect_that!(response.refusal(), eq(&refusal), "{verdict:?}");
    }
}

#[gtest]
#[tokio::test]
async fn idempotent_request_on_an_unresponsive_server_is_retried_and_withdrawn() {
    let (mut first, mut second, fleet) = spawn_pair(MODEL, &json!({})).await;
    first.on_next_request(Behavior::NoResponse);
    second.on_next_request(Behavior::NoResponse);
    let caller = spawn(fleet.address(), completion());
    let (frozen, other, first_ticket) = tokio::select! {
        received = first.next_request() => (&first, &mut second, received.ticket),
        received = second.next_request() => (&second, &mut first, received.ticket),
    };
    other.clear_behaviors();
    frozen.set_frozen(true);
    let response = caller.await.unwrap();
    expect_that!(response.body, ok(eq("ok")));
    let second_ticket = other.next_request().await.ticket;
    expect_that!(second_ticket.attempt, eq(first_ticket.attempt.next()));
    // The first attempt is withdrawn once its server responds again.
    frozen.set_frozen(false);
    expect_that!(
        frozen.wait_withdrawn().await,
        eq((first_ticket.attempt, None))
    );
}

#[gtest]
#[tokio::test]
async fn non_idempotent_request_on_an_unresponsive_server_has_unknown_outcome() {
    let mut fake = FakeSidecar::bind("b1", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    fake.on_next_request(Behavior::NoResponse);
    let caller = spawn(fleet.address(), post("/slots", "book"));
    fake.next_request().await;
    fake.set_frozen(true);
    let response = caller.await.unwrap();
    let refusal = (502, "outcome_unknown".to_owned(), "unknown");
    expect_that!(response.refusal(), eq(&refusal));
    expect_that!(fake.drain_requests(), eq(0));
    // Once the server responds again, the withdrawal settles the outcome.
    fake.set_withdrawal(Outcome::NotRun, false);
    fake.set_frozen(false);
    fake.wait_withdrawn().await;
    fleet.wait_connected(1).await;
    expect_that!(outcome(&fleet, &response).await, eq("not-run"));
}

#[gtest]
#[tokio::test]
async fn connect_failure_is_reported_as_not_run() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    fake.close_data_port();
    let fleet = Fleet::spawn(&[&fake], &json!({"limits": {"retry_percent": 0}})).await;
    let response = send(fleet.address(), completion()).await;
    let refusal = (503, "unreachable".to_owned(), "not-run");
    expect_that!(response.refusal(), eq(&refusal));
}

#[gtest]
#[tokio::test]
async fn outcome_of_an_unknown_request_id_is_unknown() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    let response = send(fleet.address(), completion()).await;
    let id = response.header("x-request-id").to_owned();
    expect_that!(outcome_of(&fleet, &id).await, eq("ran"));
    let (origin, _) = id.split_once('-').unwrap();
    expect_that!(
        outcome_of(&fleet, &format!("{origin}-ffff")).await,
        eq("unknown")
    );
    expect_that!(outcome_of(&fleet, "1-1").await, eq("unknown"));
    expect_that!(outcome_of(&fleet, "nonsense").await, eq(""));
}

#[gtest]
#[tokio::test]
async fn disconnect_after_the_last_frame_counts_as_completed() {
    let rows = [
        (Behavior::Abort("data: 1\n\ndata: [DONE]\n\n"), "ran"),
        (Behavior::Abort("data: 1\n\n"), "unknown"),
        (Behavior::AbortWithLength(6, "answer"), "ran"),
        (Behavior::AbortWithLength(7, "answer"), "unknown"),
    ];
    for (behavior, expected) in rows {
        let mut fake = FakeSidecar::bind("s1", MODEL, 4).await;
        let fleet = Fleet::spawn(&[&fake], &json!({})).await;
        fake.on_next_request(behavior.clone());
        let response = receive_head(fleet.address(), completion()).await;
        let id = response.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_owned();
        let mut body = response.into_body();
        body.frame().await.unwrap().unwrap();
        drop(body);
        fake.set_withdrawal(Outcome::Unknown, false);
        fake.next_request().await;
        let inspect = fleet.router.inspect();
        crate::fleet::wait_until(|| inspect.servers()[0].running == 0).await;
        expect_that!(outcome_of(&fleet, &id).await, eq(expected), "{behavior:?}");
    }
}
