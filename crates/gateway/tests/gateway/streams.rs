//! Streams are passed on whole and in order, marked when cut, resumed where allowed.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior, field};
use crate::caller::{self, Response};
use crate::fleet::{ready, register};
use crate::protocol::{LONG_PROMPT, TIMEOUT_MS};

const PROMPT: &str = "x-tokens: 100\r\n";

/// The numbers of the events that came whole, in their order.
fn events(reply: &Response) -> Vec<u64> {
    let lines = reply
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

#[gtest]
#[tokio::test]
async fn a_stream_comes_as_it_was_made() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready(&[&backend]).await;
    for path in ["/stream/", "/resumable/"] {
        let reply = node.ask(path, PROMPT).await;
        expect_that!(reply.status, eq(200));
        expect_that!(
            events(&reply),
            elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
        );
        expect_that!(reply.is_complete, eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn a_stream_that_breaks_off_does_not_look_whole_and_has_no_part_of_an_event() {
    let (cut, other) = (
        Backend::spawn(Behavior::CutStream).await,
        Backend::spawn(Behavior::CutStream).await,
    );
    let (_service, node) = ready(&[&cut, &other]).await;
    let reply = node.ask("/stream/", PROMPT).await;
    expect_that!(reply.status, eq(200));
    expect_that!(events(&reply), elements_are![eq(&1), eq(&2)]);
    expect_that!(reply.is_complete, eq(false));
    let came = cut.state.heads().len() + other.state.heads().len();
    expect_that!(came, eq(1));
}

#[gtest]
#[tokio::test]
async fn events_that_came_before_a_break_are_passed_on_though_both_came_at_once() {
    let backend = Backend::spawn(Behavior::CutAtOnce).await;
    let (_service, node) = ready(&[&backend]).await;
    for _ in 0..5 {
        let reply = node.ask("/stream/", PROMPT).await;
        expect_that!(events(&reply), elements_are![eq(&1), eq(&2)]);
        expect_that!(reply.is_complete, eq(false));
    }
}

#[gtest]
#[tokio::test]
async fn a_stream_that_may_be_resumed_goes_on_after_the_last_whole_event() {
    for way in [Behavior::CutStream, Behavior::HangStream] {
        let (bad, good) = (
            Backend::spawn(way).await,
            Backend::spawn(Behavior::Stream).await,
        );
        let (_service, node) = ready(&[&bad, &good]).await;
        for _ in 0..3 {
            let reply = node.ask("/resumable/", PROMPT).await;
            expect_that!(
                events(&reply),
                elements_are![eq(&1), eq(&2), eq(&3), eq(&4)],
                "{way:?}"
            );
            expect_that!(reply.is_complete, eq(true), "{way:?}");
        }
        let heads = good.state.heads();
        let resumed = heads
            .iter()
            .filter(|head| field(head, "x-after") == Some("2"));
        expect_that!(resumed.count(), ge(1), "{way:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_stream_ends_when_its_route_allows_no_more() {
    let backend = Backend::spawn(Behavior::HangStream).await;
    let (_service, node) = ready(&[&backend]).await;
    let begun = tokio::time::Instant::now();
    let reply = node.ask("/stream/", PROMPT).await;
    expect_that!(reply.is_complete, eq(false));
    expect_that!(begun.elapsed(), lt(Duration::from_millis(TIMEOUT_MS + 500)));
}

#[gtest]
#[tokio::test]
async fn a_stream_ends_at_its_server_when_the_caller_leaves() {
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
async fn a_slow_stream_is_not_broken_off_when_no_retry_is_left() {
    let (slow, other) = (
        Backend::spawn(Behavior::SlowStream).await,
        Backend::spawn(Behavior::SlowStream).await,
    );
    let (_service, node) = ready(&[&slow, &other]).await;
    let asks = (0..40).map(|_| node.ask("/resumable/", PROMPT));
    let replies = futures::future::join_all(asks).await;
    let whole = replies
        .iter()
        .filter(|reply| reply.status == 200 && reply.is_complete);
    let begun = replies.iter().filter(|reply| reply.status == 200);
    expect_that!(whole.count(), eq(begun.count()));
}

#[gtest]
#[tokio::test]
async fn a_broken_stream_is_offered_to_a_server_where_a_new_request_would_be_refused() {
    let busy = Backend::spawn(Behavior::Hang).await;
    let (service, node) = ready(&[&busy]).await;
    let long = caller::request("/stream/", &format!("x-tokens: {LONG_PROMPT}\r\n"));
    let _long = caller::open(node.callers, &long).await;
    sleep(Duration::from_millis(100)).await;
    expect_that!(node.ask("/resumable/", PROMPT).await.status, eq(503));
    let cut = Backend::spawn(Behavior::CutStream).await;
    register(&service, 1, &cut, "ready");
    sleep(Duration::from_millis(500)).await;
    let reply = node.ask("/resumable/", PROMPT).await;
    expect_that!(events(&reply), elements_are![eq(&1), eq(&2)]);
    let heads = busy.state.heads();
    expect_that!(field(&heads[heads.len() - 1], "x-after"), some(eq("2")));
}

#[gtest]
#[tokio::test]
async fn a_stream_goes_on_where_it_is_taken_though_other_servers_turn_it_away() {
    let (cut, free) = (
        Backend::spawn(Behavior::CutStream).await,
        Backend::spawn(Behavior::Stream).await,
    );
    let (away, also) = (
        Backend::spawn(Behavior::Reject).await,
        Backend::spawn(Behavior::Reject).await,
    );
    for _ in 0..4 {
        let (_service, node) = ready(&[&cut, &away, &also, &free]).await;
        let reply = node.ask("/resumable/", PROMPT).await;
        expect_that!(
            events(&reply),
            elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
        );
    }
}
