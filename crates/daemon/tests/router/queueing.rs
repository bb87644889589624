//! Queueing of requests until a server has a free slot.

use googletest::prelude::*;
use mulberryyoke_wire::Verdict;
use serde_json::json;

use crate::caller::{completion, send, spawn, with_header};
use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{Fleet, MODEL, customer_id, draining_server, other_customer_id, wait_until};

async fn start_without_free_slots() -> (FakeSidecar, Fleet) {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    (fake, fleet)
}

#[gtest]
#[tokio::test]
async fn a_request_is_queued_until_a_slot_is_granted() {
    let (mut fake, fleet) = start_without_free_slots().await;
    let caller = spawn(fleet.address(), completion());
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    let waiting = fleet.router.inspect().waiting_requests();
    expect_that!(waiting.len(), eq(1));
    expect_that!(waiting[0].customer, eq("scouts"));
    expect_that!(fake.drain_requests(), eq(0));
    fake.grant(7, customer_id());
    let reply = caller.await.unwrap();
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(fake.next_request().await.ticket.grant, some(eq(7)));
    fake.wait_declared(customer_id(), [0, 0, 0]).await;
    expect_that!(fleet.router.inspect().waiting_requests(), is_empty());
}

#[gtest]
#[tokio::test]
async fn requests_are_sent_in_order_of_class() {
    let (mut fake, fleet) = start_without_free_slots().await;
    let mut callers = Vec::new();
    for (index, class) in ["deferrable", "normal", "urgent"].into_iter().enumerate() {
        let request = with_header(completion(), "x-urgency", class);
        // A distant deadline, so that the deferrable request is not promoted.
        let request = with_header(request, "x-deadline", "99999999999999");
        callers.push(spawn(fleet.address(), request));
        fleet.wait_queued(index + 1).await;
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
async fn a_grant_without_a_queued_request_is_declined() {
    let (fake, fleet) = start_without_free_slots().await;
    fake.grant(3, other_customer_id());
    fake.wait_declined(3).await;
    let caller = spawn(fleet.address(), completion());
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    // The caller disconnects.
    caller.abort();
    fake.wait_declared(customer_id(), [0, 0, 0]).await;
    expect_that!(fleet.router.inspect().waiting_requests(), is_empty());
    fake.grant(4, customer_id());
    fake.wait_declined(4).await;
}

#[gtest]
#[tokio::test]
async fn a_request_rejected_as_busy_is_queued_and_sent_again() {
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
async fn a_request_is_refused_when_its_deadline_passes_in_the_queue() {
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
async fn a_server_with_a_free_slot_gets_the_request_without_a_grant() {
    let mut free = FakeSidecar::bind("s1", MODEL, 1).await;
    let busy = FakeSidecar::bind("s2", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&free, &busy], &json!({})).await;
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(free.next_request().await.ticket.grant, none());
}

#[gtest]
#[tokio::test]
async fn the_baseline_policy_does_not_queue() {
    let mut fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"policy": "baseline"})).await;
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(fake.next_request().await.ticket.grant, none());
}

#[gtest]
#[tokio::test]
async fn a_draining_server_gets_no_new_requests() {
    let mut draining = FakeSidecar::bind("s1", MODEL, 4).await;
    let mut active = FakeSidecar::bind("s2", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&draining, &active], &json!({})).await;
    fleet.configure(draining_server(&draining.server, 1)).await;
    let inspect = fleet.router.inspect();
    wait_until(|| inspect.servers().iter().any(|server| server.excluded)).await;
    for _ in 0..8 {
        let reply = send(fleet.address(), completion()).await;
        expect_that!(reply.status.as_u16(), eq(200));
        active.next_request().await;
    }
    expect_that!(draining.drain_requests(), eq(0));
    draining.grant(1, customer_id());
    draining.wait_declined(1).await;
}

#[gtest]
#[tokio::test]
async fn a_sidecar_gets_configuration_changes() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    wait_until(|| fake.revision() > 0).await;
    let revision = fake.revision();
    fleet.configure(draining_server(&fake.server, 1)).await;
    wait_until(|| fake.revision() > revision).await;
}

#[gtest]
#[tokio::test]
async fn a_request_may_be_queued_longer_than_the_retention_time() {
    let mut fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"retention_ms": 1})).await;
    let caller = spawn(fleet.address(), completion());
    let started_at = std::time::Instant::now();
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    wait_until(|| started_at.elapsed().as_millis() > 5).await;
    fake.grant(1, customer_id());
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
    expect_that!(fake.next_request().await.ticket.grant, some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn demand_is_declared_again_to_a_sidecar_that_has_lost_it() {
    let fake = FakeSidecar::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    let caller = spawn(fleet.address(), completion());
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    fake.clear_declarations();
    // A free slot despite declared demand shows the router that it was lost.
    fake.set_free(1);
    fake.wait_declared(customer_id(), [0, 1, 0]).await;
    fake.grant(1, customer_id());
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
}
