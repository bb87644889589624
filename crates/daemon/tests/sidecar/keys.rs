//! Idempotency keys run at most once across restarts of the sidecar and outages
//! of the key-value store.

use googletest::prelude::*;
use mulberryyoke_model::{Attempt, Incarnation, KeyId, Kind, Outcome, Ticket};

use crate::backend::Backend;
use crate::kv::Memory;
use crate::node::{Node, ROUTER, body_text, context, settings, ticket, verdict};

const RECORD_KEY: &str = "/mulberryyoke/home/m1";

fn ticket_with_key(request: u64, key: u64) -> Ticket {
    Ticket {
        key: Some(KeyId(key)),
        ..ticket(request)
    }
}

fn from_router(origin: Incarnation, ticket: Ticket) -> Ticket {
    let attempt = Attempt {
        origin,
        ..ticket.attempt
    };
    Ticket { attempt, ..ticket }
}

async fn start(backend: &Backend, kv: &Memory) -> Node {
    let settings = settings(backend.address, Kind::Service, 4);
    Node::spawn_with_kv(settings, kv.clone()).await
}

/// Runs a request to completion.
async fn run_to_end(node: &Node, backend: &mut Backend, ticket: &Ticket) {
    let sent = tokio::spawn(node.try_send(ticket));
    let stream = backend.next_call().await.respond("text/plain");
    stream.send("booked").await;
    drop(stream);
    let response = sent
        .await
        .expect("request task does not panic")
        .expect("data port answers");
    assert_that!(body_text(response).await, some(eq("booked")));
}

#[gtest]
#[tokio::test]
async fn repeated_key_gets_the_stored_response() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    let sent = tokio::spawn(node.try_send(&ticket_with_key(1, 5)));
    let call = backend.next_call().await;
    let running = node.send(&ticket_with_key(2, 5)).await;
    expect_that!(verdict(&running), some(eq("running")));
    let stream = call.respond("text/plain");
    stream.send("booked").await;
    drop(stream);
    expect_that!(body_text(sent.await??).await, some(eq("booked")));
    let replay = node.send(&ticket_with_key(3, 5)).await;
    expect_that!(replay.headers().contains_key("idempotent-replay"), eq(true));
    expect_that!(body_text(replay).await, some(eq("booked")));
    expect_that!(backend.count(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn disconnect_does_not_cancel_a_request_with_a_key() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    let sent = tokio::spawn(node.try_send(&ticket_with_key(1, 5)));
    let stream = backend.next_call().await.respond("text/plain");
    stream.send("book").await;
    drop(sent.await??);
    stream.send("ed").await;
    drop(stream);
    node.sidecar.wait_idle().await;
    expect_that!(
        body_text(node.send(&ticket_with_key(2, 5)).await).await,
        some(eq("booked"))
    );
    expect_that!(backend.count(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn keys_survive_a_planned_restart() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    run_to_end(&node, &mut backend, &ticket_with_key(1, 5)).await;
    kv.lose_responses(1);
    node.sidecar.stop().await;
    let node = start(&backend, &kv).await;
    expect_that!(
        verdict(&node.send(&ticket_with_key(2, 5)).await),
        some(eq("ran"))
    );
    run_to_end(&node, &mut backend, &ticket_with_key(3, 6)).await;
    expect_that!(backend.count(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn keys_are_indeterminate_after_a_crash_until_all_routers_report() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let other = Incarnation(8);
    let node = start(&backend, &kv).await;
    run_to_end(&node, &mut backend, &ticket_with_key(1, 5)).await;
    run_to_end(
        &node,
        &mut backend,
        &from_router(other, ticket_with_key(1, 6)),
    )
    .await;
    drop(node);
    let node = start(&backend, &kv).await;
    expect_that!(
        verdict(&node.send(&ticket_with_key(2, 7)).await),
        some(eq("doubtful"))
    );
    node.link
        .recall(context(), ROUTER, true, vec![KeyId(5)])
        .await?;
    expect_that!(
        verdict(&node.send(&ticket_with_key(3, 7)).await),
        some(eq("doubtful"))
    );
    node.link
        .recall(context(), other, true, vec![KeyId(6)])
        .await?;
    expect_that!(
        verdict(&node.send(&ticket_with_key(4, 5)).await),
        some(eq("doubtful"))
    );
    expect_that!(
        verdict(&node.send(&ticket_with_key(4, 6)).await),
        some(eq("doubtful"))
    );
    run_to_end(&node, &mut backend, &ticket_with_key(5, 7)).await;
    expect_that!(backend.count(), eq(3));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn keys_are_indeterminate_while_the_store_is_down_at_start() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    kv.set_down(true);
    let node = start(&backend, &kv).await;
    expect_that!(
        verdict(&node.send(&ticket_with_key(1, 5)).await),
        some(eq("doubtful"))
    );
    kv.lose_responses(1);
    kv.set_down(false);
    node.sidecar.wait_record_written().await;
    run_to_end(&node, &mut backend, &ticket_with_key(2, 5)).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn store_outage_rejects_keys_of_unregistered_routers() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    run_to_end(&node, &mut backend, &ticket_with_key(1, 5)).await;
    kv.set_down(true);
    run_to_end(&node, &mut backend, &ticket_with_key(2, 6)).await;
    let rejected = node
        .send(&from_router(Incarnation(8), ticket_with_key(1, 7)))
        .await;
    expect_that!(verdict(&rejected), some(eq("full")));
    expect_that!(rejected.headers().contains_key("retry-after"), eq(true));
    expect_that!(backend.count(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn superseded_instance_rejects_keys() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let old = start(&backend, &kv).await;
    run_to_end(&old, &mut backend, &ticket_with_key(1, 5)).await;
    let new = start(&backend, &kv).await;
    new.sidecar.wait_record_written().await;
    let rejected = old
        .send(&from_router(Incarnation(8), ticket_with_key(1, 6)))
        .await;
    expect_that!(verdict(&rejected), some(eq("full")));
    expect_that!(
        verdict(&old.send(&ticket_with_key(2, 7)).await),
        some(eq("full"))
    );
    expect_that!(backend.count(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn keys_are_indeterminate_after_an_unreadable_record() -> Result<()> {
    let (backend, kv) = (Backend::spawn().await, Memory::default());
    kv.put(RECORD_KEY, b"{}");
    let node = start(&backend, &kv).await;
    node.sidecar.wait_record_written().await;
    node.link.recall(context(), ROUTER, true, vec![]).await?;
    expect_that!(
        verdict(&node.send(&ticket_with_key(1, 5)).await),
        some(eq("doubtful"))
    );
    expect_that!(kv.text(RECORD_KEY), some(contains_substring("incarnation")));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn withdrawn_key_never_runs() -> Result<()> {
    let (backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    let key = KeyId(5);
    let withdrawal = node.link.withdraw(context(), ticket(1).attempt, Some(key));
    expect_that!(withdrawal.await?.outcome, eq(Outcome::NotRun));
    expect_that!(
        verdict(&node.send(&ticket_with_key(2, 5)).await),
        some(eq("tombstone"))
    );
    node.sidecar.stop().await;
    let node = start(&backend, &kv).await;
    expect_that!(
        verdict(&node.send(&ticket_with_key(3, 5)).await),
        some(eq("tombstone"))
    );
    expect_that!(backend.count(), eq(0));
    Ok(())
}

/// A withdrawal must not report `NotRun` once the request was admitted, even if the
/// backend has not read it yet.
#[gtest]
#[tokio::test]
async fn withdrawal_of_a_started_request_reports_running() -> Result<()> {
    let (mut backend, resume) = Backend::spawn_paused().await;
    let node = start(&backend, &Memory::default()).await;
    let sent = tokio::spawn(node.try_send(&ticket_with_key(1, 5)));
    let attempt = ticket(1).attempt;
    while node.link.outcome(context(), attempt, None).await? != Outcome::Running {
        tokio::task::yield_now().await;
    }
    let withdrawal = node.link.withdraw(context(), attempt, Some(KeyId(5)));
    expect_that!(withdrawal.await?.outcome, eq(Outcome::Running));
    expect_that!(
        verdict(&node.send(&ticket_with_key(2, 5)).await),
        some(eq("running"))
    );
    expect_that!(backend.count(), eq(0));
    resume.notify_one();
    drop(backend.next_call().await.respond("text/plain"));
    sent.await??;
    node.sidecar.wait_idle().await;
    let repeat = node.send(&ticket_with_key(3, 5)).await;
    expect_that!(repeat.headers().contains_key("idempotent-replay"), eq(true));
    expect_that!(backend.count(), eq(1));
    Ok(())
}
