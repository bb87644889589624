//! Requests pass to the backend and answers back.

use googletest::prelude::*;
use http_body_util::BodyExt;
use mulberryyoke_model::{CustomerId, Kind, Outcome};

use crate::backend::Backend;
use crate::node::{Node, context, settings, text, ticket, verdict};

#[gtest]
#[tokio::test]
async fn passes_request_and_streams_answer() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 2)).await;
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let call = backend.call().await;
    expect_that!(
        call.request.uri().to_string(),
        eq("/v1/chat/completions?x=1")
    );
    expect_that!(call.request.headers().contains_key("x-extra"), eq(true));
    expect_that!(call.request.headers().contains_key("ticket"), eq(false));
    let stream = call.answer("text/event-stream");
    stream.token().await;
    let mut response = sent.await??;
    let first = response.body_mut().frame().await;
    expect_that!(first.is_some(), eq(true));
    stream.token().await;
    stream.send("data: [DONE]\n\n").await;
    drop(stream);
    let rest = text(response).await;
    expect_that!(rest, some(ends_with("data: [DONE]\n\n")));
    node.sidecar.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn answer_without_end_is_broken_off() -> Result<()> {
    for fails in [false, true] {
        let mut backend = Backend::spawn().await;
        let node = Node::spawn(settings(backend.address, Kind::Model, 2)).await;
        let sent = tokio::spawn(node.try_send(&ticket(1)));
        let stream = backend.call().await.answer("text/event-stream");
        stream.token().await;
        let response = sent.await??;
        if fails {
            stream.fail().await;
        } else {
            drop(stream);
        }
        expect_that!(text(response).await, none());
        let outcome = node
            .link
            .outcome(context(), ticket(1).attempt, None)
            .await?;
        expect_that!(outcome, eq(Outcome::Cut));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn hang_up_cancels_on_the_backend() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 1)).await;
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let stream = backend.call().await.answer("text/event-stream");
    stream.token().await;
    drop(sent.await??);
    stream.hung_up().await;
    node.declare(CustomerId::of("acme"), 1).await;
    expect_that!(node.grants().await.len(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn full_server_turns_away_and_grants_later() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Service, 1)).await;
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let call = backend.call().await;
    let refused = node.send(&ticket(2)).await;
    expect_that!(verdict(&refused), some(eq("busy")));
    node.declare(CustomerId::of("acme"), 1).await;
    let stream = call.answer("text/plain");
    stream.send("first").await;
    drop(stream);
    expect_that!(text(sent.await??).await, some(eq("first")));
    let grants = node.grants().await;
    expect_that!(grants.len(), eq(1));
    let busy = node.send(&ticket(3)).await;
    expect_that!(verdict(&busy), some(eq("busy")));
    let mut granted = ticket(4);
    granted.grant = Some(grants[0].id);
    let sent = tokio::spawn(node.try_send(&granted));
    drop(backend.call().await.answer("text/plain"));
    expect_that!(verdict(&sent.await??), none());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn withdrawn_attempt_never_runs() -> Result<()> {
    let backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Service, 1)).await;
    let late = ticket(1);
    let withdrawal = node.link.withdraw(context(), late.attempt, None).await?;
    expect_that!(withdrawal.outcome, eq(Outcome::NotRun));
    expect_that!(verdict(&node.send(&late).await), some(eq("tombstone")));
    expect_that!(backend.count(), eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn unreachable_backend_is_told_as_not_run_and_gets_nothing_until_it_is_back() -> Result<()> {
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = closed.local_addr()?;
    drop(closed);
    let node = Node::spawn(settings(address, Kind::Service, 1)).await;
    let first = node.send(&ticket(1)).await;
    expect_that!(verdict(&first), some(eq("unreachable")));
    expect_that!(verdict(&node.send(&ticket(2)).await), some(eq("busy")));
    node.declare(CustomerId::of("acme"), 1).await;
    expect_that!(node.poll(0).await.grants.len(), eq(0));
    let _back = tokio::net::TcpListener::bind(address).await?;
    expect_that!(node.grants().await.len(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn planned_stop_lets_running_answers_end() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Service, 2)).await;
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let call = backend.call().await;
    let mut polled = node.poll(crate::node::now()).await;
    let stop = tokio::spawn(node.sidecar.stop());
    while !polled.load.draining {
        polled = poll_link(&node.link).await;
    }
    let stream = call.answer("text/plain");
    stream.send("whole").await;
    drop(stream);
    expect_that!(text(sent.await??).await, some(eq("whole")));
    stop.await?;
    Ok(())
}

async fn poll_link(link: &mulberryyoke_wire::SidecarClient) -> mulberryyoke_wire::PollResponse {
    let poll = mulberryyoke_wire::Poll {
        origin: crate::node::ROUTER,
        revision: 0,
        until: crate::node::now() + 1_000,
        acknowledged: 0,
        fleet: Vec::new(),
        fleet_as_of: 0,
    };
    link.poll(context(), poll).await.expect("link is up")
}
