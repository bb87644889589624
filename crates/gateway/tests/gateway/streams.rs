//! Event streams: relayed in order, marked as incomplete when truncated, resumed where allowed.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior, field};
use crate::caller::{self, Response};
use crate::fleet::{ready, register};
use crate::protocol::{LONG_PROMPT, TIMEOUT_MS};

const PROMPT: &str = "x-tokens: 100\r\n";

/// Returns the IDs of the received events.
fn event_ids(response: &Response) -> Vec<u64> {
    let lines = response
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

#[gtest]
#[tokio::test]
async fn stream_is_relayed_unchanged() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready(&[&backend]).await;
    for path in ["/stream/", "/resumable/"] {
        let response = node.send(path, PROMPT).await;
        expect_that!(response.status, eq(200));
        expect_that!(
            event_ids(&response),
            elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
        );
        expect_that!(response.is_complete, eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn truncated_stream_is_incomplete_and_ends_with_a_whole_event() {
    let (cut, other) = (
        Backend::spawn(Behavior::CutStream).await,
        Backend::spawn(Behavior::CutStream).await,
    );
    let (_service, node) = ready(&[&cut, &other]).await;
    let response = node.send("/stream/", PROMPT).await;
    expect_that!(response.status, eq(200));
    expect_that!(event_ids(&response), elements_are![eq(&1), eq(&2)]);
    expect_that!(response.is_complete, eq(false));
    let requests = cut.state.heads().len() + other.state.heads().len();
    expect_that!(requests, eq(1));
}

#[gtest]
#[tokio::test]
async fn events_received_together_with_the_truncation_are_relayed() {
    let backend = Backend::spawn(Behavior::CutAtOnce).await;
    let (_service, node) = ready(&[&backend]).await;
    for _ in 0..5 {
        let response = node.send("/stream/", PROMPT).await;
        expect_that!(event_ids(&response), elements_are![eq(&1), eq(&2)]);
        expect_that!(response.is_complete, eq(false));
    }
}

#[gtest]
#[tokio::test]
async fn a_resumed_stream_that_breaks_off_before_an_event_is_not_begun_anew() {
    let backends = [(); 3].map(|()| Backend::spawn(Behavior::CutStream));
    let [a, b, c] = futures::future::join_all(backends)
        .await
        .try_into()
        .expect("three servers");
    let (_service, node) = ready(&[&a, &b, &c]).await;
    let response = node.send("/thrice/", PROMPT).await;
    expect_that!(event_ids(&response), elements_are![eq(&1), eq(&2)]);
    expect_that!(response.is_complete, eq(false));
    let servers = [&a, &b, &c];
    let resumed = servers
        .iter()
        .flat_map(|server| server.state.heads())
        .filter(|head| field(head, "x-after") == Some("2"));
    expect_that!(resumed.count(), eq(2));
}

#[gtest]
#[tokio::test]
async fn resumable_stream_continues_after_the_last_whole_event() {
    for behavior in [Behavior::CutStream, Behavior::HangStream] {
        let (bad, good) = (
            Backend::spawn(behavior).await,
            Backend::spawn(Behavior::Stream).await,
        );
        let (_service, node) = ready(&[&bad, &good]).await;
        for _ in 0..3 {
            let response = node.send("/resumable/", PROMPT).await;
            expect_that!(
                event_ids(&response),
                elements_are![eq(&1), eq(&2), eq(&3), eq(&4)],
                "{behavior:?}"
            );
            expect_that!(response.is_complete, eq(true), "{behavior:?}");
        }
        let heads = good.state.heads();
        let resumed = heads
            .iter()
            .filter(|head| field(head, "x-after") == Some("2"));
        expect_that!(resumed.count(), ge(1), "{behavior:?}");
    }
}

#[gtest]
#[tokio::test]
async fn stream_ends_at_the_route_timeout() {
    let backend = Backend::spawn(Behavior::HangStream).await;
    let (_service, node) = ready(&[&backend]).await;
    let start = tokio::time::Instant::now();
    let response = node.send("/stream/", PROMPT).await;
    expect_that!(response.is_complete, eq(false));
    expect_that!(start.elapsed(), lt(Duration::from_millis(TIMEOUT_MS + 500)));
}

#[gtest]
#[tokio::test]
async fn server_stream_closes_when_the_caller_disconnects() {
    let backend = Backend::spawn(Behavior::HangStream).await;
    let (_service, node) = ready(&[&backend]).await;
    let stream = caller::open(node.callers, &caller::request("/stream/", PROMPT)).await;
    sleep(Duration::from_millis(200)).await;
    drop(stream);
    sleep(Duration::from_millis(300)).await;
    expect_that!(backend.state.disconnects(), eq(1));
}

#[gtest]
#[tokio::test]
async fn slow_stream_continues_when_the_retry_budget_is_exhausted() {
    let (slow, other) = (
        Backend::spawn(Behavior::SlowStream).await,
        Backend::spawn(Behavior::SlowStream).await,
    );
    let (_service, node) = ready(&[&slow, &other]).await;
    let requests = (0..40).map(|_| node.send("/resumable/", PROMPT));
    let responses = futures::future::join_all(requests).await;
    let completed = responses
        .iter()
        .filter(|response| response.status == 200 && response.is_complete);
    let started = responses.iter().filter(|response| response.status == 200);
    expect_that!(completed.count(), eq(started.count()));
}

#[gtest]
#[tokio::test]
async fn truncated_stream_resumes_on_a_server_too_busy_for_new_requests() {
    let busy = Backend::spawn(Behavior::Hang).await;
    let (service, node) = ready(&[&busy]).await;
    let long_prompt = caller::request("/stream/", &format!("x-tokens: {LONG_PROMPT}\r\n"));
    let _stream = caller::open(node.callers, &long_prompt).await;
    sleep(Duration::from_millis(100)).await;
    expect_that!(node.send("/resumable/", PROMPT).await.status, eq(503));
    let cut = Backend::spawn(Behavior::CutStream).await;
    register(&service, 1, &cut, "ready");
    sleep(Duration::from_millis(500)).await;
    let response = node.send("/resumable/", PROMPT).await;
    expect_that!(event_ids(&response), elements_are![eq(&1), eq(&2)]);
    let heads = busy.state.heads();
    expect_that!(field(&heads[heads.len() - 1], "x-after"), some(eq("2")));
}

#[gtest]
#[tokio::test]
async fn truncated_stream_resumes_though_other_servers_reject_it() {
    let (cut, free) = (
        Backend::spawn(Behavior::CutStream).await,
        Backend::spawn(Behavior::Stream).await,
    );
    let (rejecting, also_rejecting) = (
        Backend::spawn(Behavior::Reject).await,
        Backend::spawn(Behavior::Reject).await,
    );
    for _ in 0..4 {
        let (_service, node) = ready(&[&cut, &rejecting, &also_rejecting, &free]).await;
        let response = node.send("/resumable/", PROMPT).await;
        expect_that!(
            event_ids(&response),
            elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
        );
    }
}
