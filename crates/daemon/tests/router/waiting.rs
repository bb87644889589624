//! Waiting for a server, late binding.

use googletest::prelude::*;
use mulberryyoke_wire::Verdict;
use serde_json::json;

use crate::caller::{completion, send, spawn, with};
use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{Fleet, MODEL, customer_id, other_customer_id};

async fn busy() -> (FakeSidecar, Fleet) {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    (fake, fleet)
}

#[gtest]
#[tokio::test]
async fn a_request_waits_until_a_slot_is_granted() {
    let (mut fake, fleet) = busy().await;
    let caller = spawn(fleet.address(), completion());
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    let waiting = fleet.router.inspect().waiting();
    expect_that!(waiting.len(), eq(1));
    expect_that!(waiting[0].customer, eq("scouts"));
    expect_that!(fake.drain_requests(), eq(0));
    fake.grant(7, customer_id());
    let reply = caller.await.unwrap();
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(fake.next_request().await.ticket.grant, some(eq(7)));
    fake.wait_declared(customer_id(), [0, 0, 0]).await;
    expect_that!(fleet.router.inspect().waiting(), is_empty());
}

#[gtest]
#[tokio::test]
async fn the_most_urgent_goes_first() {
    let (mut fake, fleet) = busy().await;
    let mut callers = Vec::new();
    for (number, class) in ["deferrable", "normal", "urgent"].into_iter().enumerate() {
        let request = with(completion(), "x-urgency", class);
        // Far off, so that the deferrable one does not rise.
        let request = with(request, "x-deadline", "99999999999999");
        callers.push(spawn(fleet.address(), request));
        fleet.wait_queued(number + 1).await;
    }
    fake.wait_declared(customer_id(), [1, 1, 1]).await;
    for (grant, class) in (1..).zip(["urgent", "normal", "deferrable"]) {
        fake.grant(grant, customer_id());
        expect_that!(fake.next_request().await.ticket.class.as_str(), eq(class));
    }
    for caller in callers {
        expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn a_grant_that_finds_no_request_is_given_back() {
    let (fake, fleet) = busy().await;
    fake.grant(3, other_customer_id());
    fake.wait_declined(3).await;
    let caller = spawn(fleet.address(), completion());
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    // The caller hangs up.
    caller.abort();
    fake.wait_declared(customer_id(), [0, 0, 0]).await;
    expect_that!(fleet.router.inspect().waiting(), is_empty());
    fake.grant(4, customer_id());
    fake.wait_declined(4).await;
}

#[gtest]
#[tokio::test]
async fn a_busy_server_proves_nothing_ran_and_the_request_waits() {
    let mut fake = FakeSidecar::bind("s1", MODEL, 1).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    fake.on_next_request(Behavior::Verdict(Verdict::Busy));
    let caller = spawn(fleet.address(), completion());
    let first = fake.next_request().await.ticket;
    expect_that!((first.grant, first.attempt.number), eq((None, 0)));
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    fake.grant(1, customer_id());
    let second = fake.next_request().await.ticket;
    expect_that!((second.grant, second.attempt.number), eq((Some(1), 1)));
    expect_that!(second.attempt.request, eq(first.attempt.request));
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn a_deadline_that_passes_in_the_queue_is_told_at_once() {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"limits": {"deadline_ms": 100}})).await;
    let reply = send(fleet.address(), completion()).await;
    let refusal = (504, "deadline_passed".to_owned(), "not-run");
    expect_that!(reply.refusal(), eq(&refusal));
    expect_that!(reply.header("retry-after"), not(eq("")));
    fake.wait_declared(customer_id(), [0, 0, 0]).await;
}

#[gtest]
#[tokio::test]
async fn a_free_server_gets_the_body_at_once() {
    let mut near = FakeSidecar::bind("s1", MODEL, 1).await;
    let busy = FakeSidecar::bind("s2", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&near, &busy], &json!({})).await;
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(near.next_request().await.ticket.grant, none());
}

#[gtest]
#[tokio::test]
async fn the_baseline_sends_at_once_whatever_the_load() {
    let mut fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"policy": "baseline"})).await;
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(fake.next_request().await.ticket.grant, none());
}

#[gtest]
#[tokio::test]
async fn a_draining_server_gets_nothing_new() {
    let mut leaving = FakeSidecar::bind("s1", MODEL, 4).await;
    let mut staying = FakeSidecar::bind("s2", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&leaving, &staying], &json!({})).await;
    fleet
        .configure(crate::fleet::draining_server(&leaving.server, 1))
        .await;
    let inspect = fleet.router.inspect();
    crate::fleet::wait_until(|| inspect.servers().iter().any(|server| server.closed)).await;
    for _ in 0..8 {
        let reply = send(fleet.address(), completion()).await;
        expect_that!(reply.status.as_u16(), eq(200));
        staying.next_request().await;
    }
    expect_that!(leaving.drain_requests(), eq(0));
    leaving.grant(1, customer_id());
    leaving.wait_declined(1).await;
}

#[gtest]
#[tokio::test]
async fn a_sidecar_is_told_the_configuration_that_it_lacks() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    crate::fleet::wait_until(|| fake.revision() > 0).await;
    let known = fake.revision();
    fleet
        .configure(crate::fleet::draining_server(&fake.server, 1))
        .await;
    crate::fleet::wait_until(|| fake.revision() > known).await;
}

#[gtest]
#[tokio::test]
async fn a_request_may_wait_longer_than_keys_are_remembered() {
    let mut fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"retention_ms": 1})).await;
    let caller = spawn(fleet.address(), completion());
    let began = std::time::Instant::now();
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    crate::fleet::wait_until(|| began.elapsed().as_millis() > 5).await;
    fake.grant(1, customer_id());
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
    expect_that!(fake.next_request().await.ticket.grant, some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn a_sidecar_that_has_forgotten_what_waits_is_told_again() {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    let caller = spawn(fleet.address(), completion());
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    fake.clear_declarations();
    // A free slot beside what it was told of shows that it does not know of it.
    fake.set_free(1);
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    fake.grant(1, customer_id());
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
}
