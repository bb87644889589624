//! Streams that break off midway.

use googletest::prelude::*;
use mulberryyoke_model::Kind;

use crate::backend::{Backend, Stream};
use crate::node::{Node, settings, text, ticket};

const EVENTS: &str = "text/event-stream";

async fn begin(
    backend: &mut Backend,
    node: &Node,
) -> (Stream, tokio::task::JoinHandle<Option<String>>) {
    let sent = tokio::spawn(node.try_send(&ticket(1)));
    let call = backend.call().await;
    let stream = call.answer_with(EVENTS, &[("x-stream-id", "s9")]);
    let body = tokio::spawn(async move { text(sent.await.ok()?.ok()?).await });
    (stream, body)
}

#[gtest]
#[tokio::test]
async fn stream_goes_on_after_the_last_whole_event() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 1)).await;
    let (stream, body) = begin(&mut backend, &node).await;
    stream.send("data: 1\n\ndata: 2\n\ndata: ").await;
    stream.fail().await;
    let call = backend.call().await;
    expect_that!(call.request.uri().to_string(), eq("/v1/streams/s9?from=2"));
    let rest = call.answer(EVENTS);
    rest.send("data: 3\n").await;
    rest.send("\ndata: [DONE]\n\n").await;
    drop(rest);
    let whole = "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n";
    expect_that!(body.await?, some(eq(whole)));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn stream_is_resumed_once() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 1)).await;
    let (stream, body) = begin(&mut backend, &node).await;
    stream.token().await;
    drop(stream);
    let rest = backend.call().await.answer(EVENTS);
    rest.token().await;
    rest.fail().await;
    expect_that!(body.await?, none());
    expect_that!(backend.count(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn hang_up_cancels_by_the_name_of_the_stream() -> Result<()> {
    let mut backend = Backend::spawn().await;
    let node = Node::spawn(settings(backend.address, Kind::Model, 1)).await;
    let (stream, body) = begin(&mut backend, &node).await;
    stream.token().await;
    body.abort();
    stream.hung_up().await;
    let call = backend.call().await;
    expect_that!(call.request.method().as_str(), eq("DELETE"));
    expect_that!(call.request.uri().path(), eq("/v1/streams/s9"));
    Ok(())
}
