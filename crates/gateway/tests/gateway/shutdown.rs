//! Graceful shutdown.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::fleet::ready;

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
