//! A planned stop cuts nothing off.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::fleet::ready;

#[gtest]
#[tokio::test]
async fn running_answers_end_and_later_requests_are_told_that_they_did_not_run() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, mut node) = ready(&[&backend]).await;
    let gateway = node.gateway.take().expect("it runs");
    let begun = Instant::now();
    let stopping = tokio::spawn(gateway.stop());
    sleep(Duration::from_millis(100)).await;
    expect_that!(node.ready().await, eq(503));
    let reply = node.ask("/stream/", "x-tokens: 100\r\n").await;
    expect_that!((reply.status, reply.is_complete), eq((200, true)));
    expect_that!(reply.head, contains_substring("connection: close"));
    sleep(Duration::from_millis(2_700)).await;
    let before = backend.state.heads().len();
    let reply = node.ask("/stream/", "x-tokens: 100\r\n").await;
    expect_that!(reply.status, eq(503));
    expect_that!(backend.state.heads().len(), eq(before));
    stopping.await.expect("it stops");
    expect_that!(begun.elapsed(), lt(Duration::from_secs(6)));
}

#[gtest]
#[tokio::test]
async fn an_answer_that_does_not_end_is_cut_before_the_process_is_killed() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, mut node) = ready(&[&backend]).await;
    let gateway = node.gateway.take().expect("it runs");
    let stopping = tokio::spawn(gateway.stop());
    let begun = Instant::now();
    stopping.await.expect("it stops");
    expect_that!(begun.elapsed(), lt(Duration::from_secs(6)));
}
