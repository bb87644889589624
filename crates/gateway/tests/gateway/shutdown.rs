//! Graceful shutdown.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::fleet::ready;

/// Time from the begin of a shutdown to a moment shortly before requests are refused.
const BEFORE_REFUSAL: Duration = Duration::from_millis(2_200);

#[gtest]
#[tokio::test]
async fn running_responses_complete_and_later_requests_are_refused() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, mut node) = ready(&[&backend]).await;
    let gateway = node.gateway.take().expect("gateway is running");
    let started = Instant::now();
    let shutdown = tokio::spawn(gateway.stop());
    sleep(Duration::from_millis(100)).await;
    expect_that!(node.ready().await, eq(503));
    let response = node.send("/stream/", "x-tokens: 100\r\n").await;
    expect_that!((response.status, response.is_complete), eq((200, true)));
    expect_that!(response.head, contains_substring("connection: close"));
    sleep(Duration::from_millis(2_700)).await;
    let requests = backend.state.heads().len();
    let response = node.send("/stream/", "x-tokens: 100\r\n").await;
    expect_that!(response.status, eq(503));
    expect_that!(backend.state.heads().len(), eq(requests));
    shutdown.await.expect("shutdown does not panic");
    expect_that!(started.elapsed(), lt(Duration::from_secs(6)));
}

#[gtest]
#[tokio::test]
async fn a_response_that_does_not_end_is_aborted_within_the_grace_period() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, mut node) = ready(&[&backend]).await;
    let gateway = node.gateway.take().expect("gateway is running");
    let shutdown = tokio::spawn(gateway.stop());
    let started = Instant::now();
    shutdown.await.expect("shutdown does not panic");
    expect_that!(started.elapsed(), lt(Duration::from_secs(6)));
}

// Whether requests are still taken was asked before their body was read.
#[gtest]
#[tokio::test]
async fn a_request_whose_body_comes_after_the_last_ones_is_refused() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, mut node) = ready(&[&backend]).await;
    service.set("config", Some("6 timeout=6000 secret"));
    let gateway = node.gateway.take().expect("gateway is running");
    let shutdown = tokio::spawn(gateway.stop());
    sleep(BEFORE_REFUSAL).await;
    let request = caller::request("/once/", "x-tokens: 100\r\n");
    let (first, last) = request.split_at(request.len() - 1);
    let mut stream = caller::open(node.callers, first).await;
    sleep(Duration::from_millis(700)).await;
    stream.write_all(last.as_bytes()).await.expect("it reads");
    let response = caller::read_to_end(&mut stream).await;
    expect_that!(response.status, eq(503));
    expect_that!(backend.state.heads(), is_empty());
    shutdown.await.expect("shutdown does not panic");
}

// The connections of requests without an answer were closed at the end of the grace period.
#[gtest]
#[tokio::test]
async fn a_request_without_an_answer_gets_one_at_the_end_of_the_grace_period() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (service, mut node) = ready(&[&backend]).await;
    service.set("config", Some("6 timeout=9000 secret"));
    let gateway = node.gateway.take().expect("gateway is running");
    let started = Instant::now();
    let shutdown = tokio::spawn(gateway.stop());
    sleep(BEFORE_REFUSAL).await;
    let paths = ["/once/", "/stream/"];
    let responses = paths.map(|path| node.send(path, "x-tokens: 100\r\n"));
    for (response, path) in join_all(responses).await.into_iter().zip(paths) {
        expect_that!(response.status, eq(502), "{path}");
        expect_that!(response.is_complete, eq(true), "{path}");
    }
    expect_that!(started.elapsed(), gt(Duration::from_millis(4_500)));
    shutdown.await.expect("shutdown does not panic");
    expect_that!(started.elapsed(), lt(Duration::from_secs(6)));
}
