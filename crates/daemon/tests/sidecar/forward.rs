//! Forwarding of requests to the backend and of responses to the router.

use std::net::{Ipv4Addr, SocketAddr};

use googletest::prelude::*;
use http_body_util::BodyExt;
use mulberryyoke_model::{CustomerId, Kind, Outcome};
use tokio::net::TcpSocket;

use crate::backend::Backend;
use crate::node::{Node, body_text, context, settings, ticket, verdict};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 16;

#[gtest]
#[tokio::test]
async fn forwards_request_and_streams_response() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 2)).await;
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let call = backend.next_call().await;
    expect_that!(
        call.request.uri().to_string(),
        eq("/v1/chat/completions?x=1")
    );
    expect_that!(call.request.headers().contains_key("x-extra"), eq(true));
    expect_that!(call.request.headers().contains_key("ticket"), eq(false));
    let stream = call.respond("text/event-stream");
    stream.send_token().await;
    let mut response = sent.await??;
    let first = response.body_mut().frame().await;
    expect_that!(first.is_some(), eq(true));
    stream.send_token().await;
    stream.send("data: [DONE]\n\n").await;
    drop(stream);
    let rest = body_text(response).await;
    expect_that!(rest, some(ends_with("data: [DONE]\n\n")));
    node.sidecar.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn truncated_response_is_interrupted() -> Result<()> {
    for aborts in [false, true] {
        let mut backend = Backend::spawn().await;
        let node = Node::spawn(settings(backend.address, Kind::Model, 2)).await;
        let sent = tokio::spawn(node.try_send(&ticket(1)));
        let stream = backend.next_call().await.respond("text/event-stream");
        stream.send_token().await;
        let response = sent.await??;
        if aborts {
            stream.abort().await;
        } else {
            drop(stream);
        }
        expect_that!(body_text(response).await, none());
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
async fn disconnect_cancels_the_request() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 1)).await;
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let stream = backend.next_call().await.respond("text/event-stream");
    stream.send_token().await;
    drop(sent.await??);
    stream.disconnected().await;
    node.declare(CustomerId::of("acme"), 1).await;
    expect_that!(node.wait_grants().await.len(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn full_server_rejects_and_grants_later() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Service, 1)).await;
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let call = backend.next_call().await;
    let rejected = node.send(&ticket(2)).await;
    expect_that!(verdict(&rejected), some(eq("busy")));
    node.declare(CustomerId::of("acme"), 1).await;
    let stream = call.respond("text/plain");
    stream.send("first").await;
    drop(stream);
    expect_that!(body_text(sent.await??).await, some(eq("first")));
    let grants = node.wait_grants().await;
    expect_that!(grants.len(), eq(1));
    let busy = node.send(&ticket(3)).await;
    expect_that!(verdict(&busy), some(eq("busy")));
    let mut granted = ticket(4);
    granted.grant = Some(grants[0].id);
    let sent = tokio::spawn(node.try_send(&granted));
    drop(backend.next_call().await.respond("text/plain"));
    expect_that!(verdict(&sent.await??), none());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn withdrawn_attempt_never_runs() -> Result<()> {
    let backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Service, 1)).await;
    let withdrawn = ticket(1);
    let withdrawal = node
        .link
        .withdraw(context(), withdrawn.attempt, None)
        .await?;
    expect_that!(withdrawal.outcome, eq(Outcome::NotRun));
    expect_that!(verdict(&node.send(&withdrawn).await), some(eq("tombstone")));
    expect_that!(backend.count(), eq(0));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn unreachable_backend_is_reported_and_gets_no_grants() -> Result<()> {
    // A bound socket that does not listen refuses connections and keeps its port from other sockets.
    let closed = TcpSocket::new_v4()?;
    closed.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let address = closed.local_addr()?;
    let node = Node::spawn(settings(address, Kind::Service, 1)).await;
    let first = node.send(&ticket(1)).await;
    expect_that!(verdict(&first), some(eq("unreachable")));
    expect_that!(verdict(&node.send(&ticket(2)).await), some(eq("busy")));
    node.declare(CustomerId::of("acme"), 1).await;
    expect_that!(node.poll(0).await.grants.len(), eq(0));
    let _restored = closed.listen(BACKLOG)?;
    expect_that!(node.wait_grants().await.len(), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn planned_stop_drains_running_requests() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Service, 2)).await;
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let call = backend.next_call().await;
    let mut response = node.poll(crate::node::now()).await;
    let stop = tokio::spawn(node.sidecar.stop());
    while !response.load.draining {
        response = poll_link(&node.link).await;
    }
    let stream = call.respond("text/plain");
    stream.send("whole").await;
    drop(stream);
    expect_that!(body_text(sent.await??).await, some(eq("whole")));
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
