//! Resuming and cancelling of interrupted streams.

use googletest::prelude::*;
use mulberryyoke_model::Kind;

use crate::backend::{Backend, Stream};
use crate::node::{Node, body_text, settings, ticket};

const EVENT_STREAM: &str = "text/event-stream";

async fn start_stream(
    backend: &mut Backend,
    node: &Node,
) -> (Stream, tokio::task::JoinHandle<Option<String>>) {
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let call = backend.next_call().await;
    let stream = call.respond_with(EVENT_STREAM, &[("x-stream-id", "s9")]);
    let body = tokio::spawn(async move { body_text(sent.await.ok()?.ok()?).await });
    (stream, body)
}

#[gtest]
#[tokio::test]
async fn stream_resumes_after_the_last_complete_event() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 1)).await;
    let (stream, body) = start_stream(&mut backend, &node).await;
    stream.send("data: 1\n\ndata: 2\n\ndata: ").await;
    stream.abort().await;
    let call = backend.next_call().await;
    expect_that!(call.request.uri().to_string(), eq("/v1/streams/s9?from=2"));
    let resumed = call.respond(EVENT_STREAM);
    resumed.send("data: 3\n").await;
    resumed.send("\ndata: [DONE]\n\n").await;
    drop(resumed);
    let complete = "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n";
    expect_that!(body.await?, some(eq(complete)));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn stream_is_resumed_only_once() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 1)).await;
    let (stream, body) = start_stream(&mut backend, &node).await;
    stream.send_token().await;
    drop(stream);
    let resumed = backend.next_call().await.respond(EVENT_STREAM);
    resumed.send_token().await;
    resumed.abort().await;
    expect_that!(body.await?, none());
    expect_that!(backend.count(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn disconnect_cancels_the_stream_by_its_id() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 1)).await;
    let (stream, body) = start_stream(&mut backend, &node).await;
    stream.send_token().await;
    body.abort();
    stream.disconnected().await;
    let call = backend.next_call().await;
    expect_that!(call.request.method().as_str(), eq("DELETE"));
    expect_that!(call.request.uri().path(), eq("/v1/streams/s9"));
    Ok(())
}
