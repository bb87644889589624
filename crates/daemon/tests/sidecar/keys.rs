//! Keys run at most once, over restarts of the sidecar and outages of the
//! key-value service.

use googletest::prelude::*;
use mulberryyoke_model::{Attempt, Incarnation, KeyId, Kind, Outcome, Ticket};

use crate::backend::Backend;
use crate::kv::Memory;
use crate::node::{Node, ROUTER, context, settings, text, ticket, verdict};

const HOME: &str = "/mulberryyoke/home/m1";

fn keyed(request: u64, key: u64) -> Ticket {
    Ticket {
        key: Some(KeyId(key)),
        ..ticket(request)
    }
}

fn from(origin: Incarnation, ticket: Ticket) -> Ticket {
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

/// Runs a request to its end.
async fn run(node: &Node, backend: &mut Backend, ticket: &Ticket) {
    let sent = tokio::spawn(node.try_send(ticket));
    let stream = backend.call().await.answer("text/plain");
    stream.send("booked").await;
    drop(stream);
    let response = sent.await.expect("runs").expect("is answered");
    assert_that!(text(response).await, some(eq("booked")));
}

#[gtest]
#[tokio::test]
async fn key_runs_once_and_its_answer_is_given_again() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    let sent = tokio::spawn(node.try_send(&keyed(1, 5)));
    let call = backend.call().await;
    let running = node.send(&keyed(2, 5)).await;
    expect_that!(verdict(&running), some(eq("running")));
    let stream = call.answer("text/plain");
    stream.send("booked").await;
    drop(stream);
    expect_that!(text(sent.await??).await, some(eq("booked")));
    let replay = node.send(&keyed(3, 5)).await;
    expect_that!(replay.headers().contains_key("idempotent-replay"), eq(true));
    expect_that!(text(replay).await, some(eq("booked")));
    expect_that!(backend.count(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn hang_up_does_not_cancel_a_key() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    let sent = tokio::spawn(node.try_send(&keyed(1, 5)));
    let stream = backend.call().await.answer("text/plain");
    stream.send("book").await;
    drop(sent.await??);
    stream.send("ed").await;
    drop(stream);
    node.sidecar.wait_idle().await;
    expect_that!(
        text(node.send(&keyed(2, 5)).await).await,
        some(eq("booked"))
    );
    expect_that!(backend.count(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn planned_restart_knows_its_keys() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    run(&node, &mut backend, &keyed(1, 5)).await;
    kv.lose(1);
    node.sidecar.stop().await;
    let node = start(&backend, &kv).await;
    expect_that!(verdict(&node.send(&keyed(2, 5)).await), some(eq("ran")));
    run(&node, &mut backend, &keyed(3, 6)).await;
    expect_that!(backend.count(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn crash_leaves_keys_in_doubt_until_every_router_has_told() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let other = Incarnation(8);
    let node = start(&backend, &kv).await;
    run(&node, &mut backend, &keyed(1, 5)).await;
    run(&node, &mut backend, &from(other, keyed(1, 6))).await;
    drop(node);
    let node = start(&backend, &kv).await;
    expect_that!(
        verdict(&node.send(&keyed(2, 7)).await),
        some(eq("doubtful"))
    );
    node.link
        .recall(context(), ROUTER, true, vec![KeyId(5)])
        .await?;
    expect_that!(
        verdict(&node.send(&keyed(3, 7)).await),
        some(eq("doubtful"))
    );
    node.link
        .recall(context(), other, true, vec![KeyId(6)])
        .await?;
    expect_that!(
        verdict(&node.send(&keyed(4, 5)).await),
        some(eq("doubtful"))
    );
    expect_that!(
        verdict(&node.send(&keyed(4, 6)).await),
        some(eq("doubtful"))
    );
    run(&node, &mut backend, &keyed(5, 7)).await;
    expect_that!(backend.count(), eq(3));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn outage_at_start_leaves_keys_in_doubt_until_it_ends() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    kv.set_down(true);
    let node = start(&backend, &kv).await;
    expect_that!(
        verdict(&node.send(&keyed(1, 5)).await),
        some(eq("doubtful"))
    );
    kv.lose(1);
    kv.set_down(false);
    node.sidecar.wait_record_written().await;
    run(&node, &mut backend, &keyed(2, 5)).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn outage_refuses_keys_of_routers_that_the_record_does_not_name() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let node = start(&backend, &kv).await;
    run(&node, &mut backend, &keyed(1, 5)).await;
    kv.set_down(true);
    run(&node, &mut backend, &keyed(2, 6)).await;
    let refused = node.send(&from(Incarnation(8), keyed(1, 7))).await;
    expect_that!(verdict(&refused), some(eq("full")));
    expect_that!(refused.headers().contains_key("retry-after"), eq(true));
    expect_that!(backend.count(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn life_that_lost_its_record_runs_no_key() -> Result<()> {
    let (mut backend, kv) = (Backend::spawn().await, Memory::default());
    let old = start(&backend, &kv).await;
    run(&old, &mut backend, &keyed(1, 5)).await;
    let new = start(&backend, &kv).await;
    new.sidecar.wait_record_written().await;
    let refused = old.send(&from(Incarnation(8), keyed(1, 6))).await;
    expect_that!(verdict(&refused), some(eq("full")));
    expect_that!(verdict(&old.send(&keyed(2, 7)).await), some(eq("full")));
    expect_that!(backend.count(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn unreadable_record_leaves_keys_in_doubt() -> Result<()> {
    let (backend, kv) = (Backend::spawn().await, Memory::default());
    kv.put(HOME, b"{}");
    let node = start(&backend, &kv).await;
    node.sidecar.wait_record_written().await;
    node.link.recall(context(), ROUTER, true, vec![]).await?;
    expect_that!(
        verdict(&node.send(&keyed(1, 5)).await),
        some(eq("doubtful"))
    );
    expect_that!(kv.text(HOME), some(contains_substring("incarnation")));
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
        verdict(&node.send(&keyed(2, 5)).await),
        some(eq("tombstone"))
    );
    node.sidecar.stop().await;
    let node = start(&backend, &kv).await;
    expect_that!(
        verdict(&node.send(&keyed(3, 5)).await),
        some(eq("tombstone"))
    );
    expect_that!(backend.count(), eq(0));
    Ok(())
}

/// Between the check and the backend's first read nothing proves that the request
/// will not run, however long that takes.
#[gtest]
#[tokio::test]
async fn withdrawal_between_check_and_backend_does_not_prove_not_run() -> Result<()> {
    let (mut backend, resume) = Backend::spawn_paused().await;
    let node = start(&backend, &Memory::default()).await;
    let sent = tokio::spawn(node.try_send(&keyed(1, 5)));
    let attempt = ticket(1).attempt;
    while node.link.outcome(context(), attempt, None).await? != Outcome::Running {
        tokio::task::yield_now().await;
    }
    let withdrawal = node.link.withdraw(context(), attempt, Some(KeyId(5)));
    expect_that!(withdrawal.await?.outcome, eq(Outcome::Running));
    expect_that!(verdict(&node.send(&keyed(2, 5)).await), some(eq("running")));
    expect_that!(backend.count(), eq(0));
    resume.notify_one();
    drop(backend.call().await.answer("text/plain"));
    sent.await??;
    node.sidecar.wait_idle().await;
    let repeat = node.send(&keyed(3, 5)).await;
    expect_that!(repeat.headers().contains_key("idempotent-replay"), eq(true));
    expect_that!(backend.count(), eq(1));
    Ok(())
}
