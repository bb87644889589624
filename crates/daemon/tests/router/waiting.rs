//! Waiting for a server, late binding.

use googletest::prelude::*;
use mulberryyoke_wire::Verdict;
use serde_json::json;

use crate::caller::{completion, send, spawn, with_header};
use crate::fake::{Act, Fake};
use crate::fleet::{Fleet, MODEL, customer, other};

async fn busy() -> (Fake, Fleet) {
    let fake = Fake::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    (fake, fleet)
}

#[gtest]
#[tokio::test]
async fn a_request_waits_until_a_slot_is_granted() {
    let (mut fake, fleet) = busy().await;
    let caller = spawn(fleet.address(), completion());
    fake.declared(customer(), [0, 1, 0]).await;
    let waiting = fleet.router.inspect().waiting();
    expect_that!(waiting.len(), eq(1));
    expect_that!(waiting[0].customer, eq("scouts"));
    expect_that!(fake.unread(), eq(0));
    fake.grant(7, customer());
    let reply = caller.await.unwrap();
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(fake.arrival().await.ticket.grant, some(eq(7)));
    fake.declared(customer(), [0, 0, 0]).await;
    expect_that!(fleet.router.inspect().waiting(), is_empty());
}

#[gtest]
#[tokio::test]
async fn the_most_urgent_goes_first() {
    let (mut fake, fleet) = busy().await;
    let mut callers = Vec::new();
    for (number, class) in ["deferrable", "normal", "urgent"].into_iter().enumerate() {
        let request = with_header(completion(), "x-urgency", class);
        // Far off, so that the deferrable one does not rise.
        let request = with_header(request, "x-deadline", "99999999999999");
        callers.push(spawn(fleet.address(), request));
        fleet.waiting(number + 1).await;
    }
    fake.declared(customer(), [1, 1, 1]).await;
    for (grant, class) in (1..).zip(["urgent", "normal", "deferrable"]) {
        fake.grant(grant, customer());
        expect_that!(fake.arrival().await.ticket.class.as_str(), eq(class));
    }
    for caller in callers {
        expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn a_grant_that_finds_no_request_is_given_back() {
    let (fake, fleet) = busy().await;
    fake.grant(3, other());
    fake.declined(3).await;
    let caller = spawn(fleet.address(), completion());
    fake.declared(customer(), [0, 1, 0]).await;
    // The caller hangs up.
    caller.abort();
    fake.declared(customer(), [0, 0, 0]).await;
    expect_that!(fleet.router.inspect().waiting(), is_empty());
    fake.grant(4, customer());
    fake.declined(4).await;
}

#[gtest]
#[tokio::test]
async fn a_busy_server_proves_nothing_ran_and_the_request_waits() {
    let mut fake = Fake::bind("s1", MODEL, 1).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    fake.then(Act::Verdict(Verdict::Busy));
    let caller = spawn(fleet.address(), completion());
    let first = fake.arrival().await.ticket;
    expect_that!((first.grant, first.attempt.number), eq((None, 0)));
    fake.declared(customer(), [0, 1, 0]).await;
    fake.grant(1, customer());
    let second = fake.arrival().await.ticket;
    expect_that!((second.grant, second.attempt.number), eq((Some(1), 1)));
    expect_that!(second.attempt.request, eq(first.attempt.request));
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn a_deadline_that_passes_in_the_queue_is_told_at_once() {
    let fake = Fake::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"limits": {"deadline_ms": 100}})).await;
    let reply = send(fleet.address(), completion()).await;
    let refusal = (504, "deadline_passed".to_owned(), "not-run");
    expect_that!(reply.refusal(), eq(&refusal));
    expect_that!(reply.header("retry-after"), not(eq("")));
    fake.declared(customer(), [0, 0, 0]).await;
}

#[gtest]
#[tokio::test]
async fn a_free_server_gets_the_body_at_once() {
    let mut near = Fake::bind("s1", MODEL, 1).await;
    let busy = Fake::bind("s2", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&near, &busy], &json!({})).await;
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(near.arrival().await.ticket.grant, none());
}

#[gtest]
#[tokio::test]
async fn the_baseline_sends_at_once_whatever_the_load() {
    let mut fake = Fake::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"policy": "baseline"})).await;
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(fake.arrival().await.ticket.grant, none());
}

#[gtest]
#[tokio::test]
async fn a_draining_server_gets_nothing_new() {
    let mut leaving = Fake::bind("s1", MODEL, 4).await;
    let mut staying = Fake::bind("s2", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&leaving, &staying], &json!({})).await;
    fleet
        .configure(crate::fleet::draining(&leaving.server, 1))
        .await;
    let inspect = fleet.router.inspect();
    crate::fleet::eventually(|| inspect.servers().iter().any(|server| server.closed)).await;
    for _ in 0..8 {
        let reply = send(fleet.address(), completion()).await;
        expect_that!(reply.status.as_u16(), eq(200));
        staying.arrival().await;
    }
    expect_that!(leaving.unread(), eq(0));
    leaving.grant(1, customer());
    leaving.declined(1).await;
}

#[gtest]
#[tokio::test]
async fn a_sidecar_is_told_the_configuration_that_it_lacks() {
    let fake = Fake::bind("s1", MODEL, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    crate::fleet::eventually(|| fake.revision() > 0).await;
    let known = fake.revision();
    fleet
        .configure(crate::fleet::draining(&fake.server, 1))
        .await;
    crate::fleet::eventually(|| fake.revision() > known).await;
}

#[gtest]
#[tokio::test]
async fn a_request_may_wait_longer_than_keys_are_remembered() {
    let mut fake = Fake::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({"retention_ms": 1})).await;
    let caller = spawn(fleet.address(), completion());
    let began = std::time::Instant::now();
    fake.declared(customer(), [0, 1, 0]).await;
    crate::fleet::eventually(|| began.elapsed().as_millis() > 5).await;
    fake.grant(1, customer());
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
    expect_that!(fake.arrival().await.ticket.grant, some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn a_sidecar_that_has_forgotten_what_waits_is_told_again() {
    let fake = Fake::bind("s1", MODEL, 0).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    let caller = spawn(fleet.address(), completion());
    fake.declared(customer(), [0, 1, 0]).await;
    fake.forget();
    // A free slot beside what it was told of shows that it does not know of it.
    fake.set_free(1);
    fake.declared(customer(), [0, 1, 0]).await;
    fake.grant(1, customer());
    expect_that!(caller.await.unwrap().status.as_u16(), eq(200));
}
