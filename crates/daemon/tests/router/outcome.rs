//! Truthful outcomes when servers fail.

use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::Method;
use mulberryyoke_model::Outcome;
use mulberryyoke_wire::Verdict;
use serde_json::{Value, json};

use crate::caller::{Reply, completion, open, post, read, send, spawn};
use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{Fleet, MODEL, SERVICE};

async fn two(pool: &str, changes: &Value) -> (FakeSidecar, FakeSidecar, Fleet) {
    let first = FakeSidecar::bind("s1", pool, 4).await;
    let second = FakeSidecar::bind("s2", pool, 4).await;
    let fleet = Fleet::spawn(&[&first, &second], changes).await;
    (first, second, fleet)
}

/// What the router says became of an answered request.
async fn outcome(fleet: &Fleet, reply: &Reply) -> String {
    outcome_of(fleet, reply.header("x-request-id")).await
}

async fn outcome_of(fleet: &Fleet, id: &str) -> String {
    let mut request = post(&format!("/v1/outcomes/{id}"), "");
    *request.method_mut() = Method::GET;
    let told = send(fleet.address(), request).await;
    let body: Value = serde_json::from_str(told.text.as_deref().unwrap()).unwrap();
    body["outcome"].as_str().unwrap_or_default().to_owned()
}

#[gtest]
#[tokio::test]
async fn an_answer_that_breaks_off_never_looks_whole() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    fake.on_next_request(Behavior::Abort("data: 1\n\n"));
    let response = open(fleet.address(), completion()).await;
    fake.release();
    let reply = read(response).await;
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(reply.text, err(anything()));
    fake.set_withdrawal(Outcome::Cut, false);
    expect_that!(outcome(&fleet, &reply).await, eq("cut"));
}

/// The caller's connection has all that was told before the server's stream ends.
#[gtest]
#[tokio::test]
async fn an_answer_of_told_length_is_whole_once_passed_on() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    fake.on_next_request(Behavior::HoldEnd("whole"));
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.text.as_deref(), ok(eq("whole")));
    expect_that!(outcome(&fleet, &reply).await, eq("ran"));
    fake.release();
}

#[gtest]
#[tokio::test]
async fn idempotent_requests_are_retried_elsewhere() {
    let rows = [
        Behavior::Verdict(Verdict::Unreachable),
        Behavior::Verdict(Verdict::Tombstone),
        Behavior::Verdict(Verdict::Broken),
    ];
    for act in rows {
        let fake = FakeSidecar::bind("s1", MODEL, 4).await;
        let fleet = Fleet::spawn(&[&fake], &json!({})).await;
        fake.on_next_request(act.clone());
        let caller = spawn(fleet.address(), completion());
        fake.wait_declared(crate::fleet::customer_id(), [0, 1, 0])
            .await;
        fake.grant(1, crate::fleet::customer_id());
        let reply = caller.await.unwrap();
        expect_that!(reply.status.as_u16(), eq(200), "{act:?}");
        expect_that!(outcome(&fleet, &reply).await, eq("ran"), "{act:?}");
    }
}

#[gtest]
#[tokio::test]
async fn without_a_budget_the_refusal_tells_the_truth() {
    let rows = [
        (Verdict::Unreachable, "not-run"),
        (Verdict::Tombstone, "not-run"),
        (Verdict::Broken, "unknown"),
    ];
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"limits": {"retry_percent": 0}})).await;
    for (verdict, expected) in rows {
        fake.on_next_request(Behavior::Verdict(verdict));
        let reply = send(fleet.address(), completion()).await;
        let refusal = (503, "unreachable".to_owned(), expected);
        expect_that!(reply.refusal(), eq(&refusal), "{verdict:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_frozen_server_costs_an_idempotent_request_a_retry() {
    let (mut first, mut second, fleet) = two(MODEL, &json!({})).await;
    first.on_next_request(Behavior::NoResponse);
    second.on_next_request(Behavior::NoResponse);
    let caller = spawn(fleet.address(), completion());
    let (frozen, other, ticket) = tokio::select! {
        arrival = first.next_request() => (&first, &mut second, arrival.ticket),
        arrival = second.next_request() => (&second, &mut first, arrival.ticket),
    };
    other.clear_behaviors();
    frozen.set_frozen(true);
    let reply = caller.await.unwrap();
    expect_that!(reply.text, ok(eq("ok")));
    let again = other.next_request().await.ticket;
    expect_that!(again.attempt, eq(ticket.attempt.next()));
    // The first attempt is withdrawn once its server answers.
    frozen.set_frozen(false);
    expect_that!(frozen.wait_withdrawn().await, eq((ticket.attempt, None)));
}

#[gtest]
#[tokio::test]
async fn what_must_run_once_is_unknown_at_once_when_its_server_is_silent() {
    let mut fake = FakeSidecar::bind("b1", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    fake.on_next_request(Behavior::NoResponse);
    let caller = spawn(fleet.address(), post("/slots", "book"));
    fake.next_request().await;
    fake.set_frozen(true);
    let reply = caller.await.unwrap();
    let refusal = (502, "outcome_unknown".to_owned(), "unknown");
    expect_that!(reply.refusal(), eq(&refusal));
    expect_that!(fake.drain_requests(), eq(0));
    // Once the server answers again, its withdrawal proves what became of it.
    fake.set_withdrawal(Outcome::NotRun, false);
    fake.set_frozen(false);
    fake.wait_withdrawn().await;
    fleet.wait_connected(1).await;
    expect_that!(outcome(&fleet, &reply).await, eq("not-run"));
}

#[gtest]
#[tokio::test]
async fn a_server_that_cannot_be_reached_has_not_run_anything() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    fake.close_data_port();
    let fleet = Fleet::spawn(&[&fake], &json!({"limits": {"retry_percent": 0}})).await;
    let reply = send(fleet.address(), completion()).await;
    let refusal = (503, "unreachable".to_owned(), "not-run");
    expect_that!(reply.refusal(), eq(&refusal));
}

#[gtest]
#[tokio::test]
async fn outcomes_of_strange_ids_are_unknown() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    let reply = send(fleet.address(), completion()).await;
    let id = reply.header("x-request-id").to_owned();
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
async fn a_caller_that_leaves_after_the_last_piece_had_its_answer() {
    let rows = [
        (Behavior::Abort("data: 1\n\ndata: [DONE]\n\n"), "ran"),
        (Behavior::Abort("data: 1\n\n"), "unknown"),
        (Behavior::AbortWithLength(6, "answer"), "ran"),
        (Behavior::AbortWithLength(7, "answer"), "unknown"),
    ];
    for (act, told) in rows {
        let mut fake = FakeSidecar::bind("s1", MODEL, 4).await;
        let fleet = Fleet::spawn(&[&fake], &json!({})).await;
        fake.on_next_request(act.clone());
        let response = open(fleet.address(), completion()).await;
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
        expect_that!(outcome_of(&fleet, &id).await, eq(told), "{act:?}");
    }
}
