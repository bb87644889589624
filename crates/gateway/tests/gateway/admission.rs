//! Admission: requests that cannot meet the latency objective are refused at once.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::fleet::{Node, ready};
use crate::protocol::LONG_PROMPT;

/// Occupies the only server with a long prompt.
async fn occupy(node: &Node) -> tokio::net::TcpStream {
    let header_lines = format!("x-tokens: {LONG_PROMPT}\r\n");
    let stream = caller::open(node.callers, &caller::request("/stream/", &header_lines)).await;
    sleep(Duration::from_millis(100)).await;
    stream
}

#[gtest]
#[tokio::test]
async fn prompt_behind_a_long_one_is_refused_at_once_and_not_forwarded() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, node) = ready(&[&backend]).await;
    let _stream = occupy(&node).await;
    let start = Instant::now();
    let response = node.send("/stream/", "x-tokens: 2000\r\n").await;
    expect_that!(response.status, eq(503));
    expect_that!(response.head, contains_substring("retry-after: "));
    expect_that!(start.elapsed(), lt(Duration::from_millis(50)));
    expect_that!(backend.state.heads().len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn long_prompt_goes_to_an_idle_server_though_it_misses_the_objective() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready(&[&backend]).await;
    let header_lines = format!("x-tokens: {LONG_PROMPT}\r\n");
    expect_that!(node.send("/stream/", &header_lines).await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn aborted_prompt_no_longer_counts_as_load() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, node) = ready(&[&backend]).await;
    let stream = occupy(&node).await;
    drop(stream);
    sleep(Duration::from_millis(200)).await;
    let request = caller::request("/stream/", "x-tokens: 2000\r\n");
    let _second = caller::open(node.callers, &request).await;
    sleep(Duration::from_millis(200)).await;
    expect_that!(backend.state.heads().len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn prompt_larger_than_the_memory_is_refused_at_once_and_not_forwarded() {
    // A retry cannot help, so none is suggested.
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready(&[&backend]).await;
    let response = node.send("/stream/", "x-tokens: 100000\r\n").await;
    expect_that!(response.status, eq(503));
    expect_that!(response.body, contains_substring("too_large"));
    expect_that!(response.head, not(contains_substring("retry-after")));
    expect_that!(backend.state.heads().len(), eq(0));
}

#[gtest]
#[tokio::test]
async fn prompt_without_room_in_memory_is_refused_until_there_is() {
    // The server would preempt a stream for it, or crash.
    let backend = Backend::spawn(Behavior::HangStream).await;
    let (_service, node) = ready(&[&backend]).await;
    let running = occupy(&node).await;
    let header_lines = "x-tokens: 45000\r\n";
    let response = node.send("/stream/", header_lines).await;
    expect_that!(response.status, eq(503));
    expect_that!(response.body, contains_substring("busy"));
    expect_that!(response.head, contains_substring("retry-after: "));
    expect_that!(backend.state.heads().len(), eq(1));
    backend.state.set_behavior(Behavior::Stream, "");
    drop(running);
    sleep(Duration::from_millis(200)).await;
    expect_that!(node.send("/stream/", header_lines).await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn customer_is_not_charged_for_rejected_requests() {
    let backend = Backend::spawn(Behavior::Reject).await;
    let (service, node) = ready(&[&backend]).await;
    service.set("config", Some("6 tokens=1000 secret"));
    sleep(Duration::from_millis(600)).await;
    let keyed = "Authorization: Bearer secret\r\nx-tokens: 500\r\n";
    for _ in 0..6 {
        expect_that!(node.send("/keyed/", keyed).await.status, eq(503));
    }
    backend.state.set_behavior(Behavior::Hang, "");
    let long_prompt = format!("x-tokens: {LONG_PROMPT}\r\n");
    let _stream = caller::open(node.callers, &caller::request("/once/", &long_prompt)).await;
    sleep(Duration::from_millis(100)).await;
    let response = node.send("/keyed/", keyed).await;
    expect_that!(
        response.body,
        contains_substring("busy"),
        "the customer has used none of its share"
    );
    expect_that!(response.status, eq(503));
}

/// Returns the refusal of a prompt that arrives behind a long one, after the customer has used
/// 3,500 tokens.
async fn refusal_after_usage(tokens_per_s: u32, is_other_cold: bool) -> String {
    let (busy, other) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&busy]).await;
    let cold_ms = if is_other_cold { 30_000 } else { 0 };
    let value = format!("model {} ready 5 {cold_ms}", other.address);
    service.set("servers/model-1", Some(&value));
    service.set("config", Some(&format!("6 tokens={tokens_per_s} secret")));
    sleep(Duration::from_millis(600)).await;
    let keyed = "Authorization: Bearer secret\r\nx-tokens: 500\r\n";
    for _ in 0..7 {
        expect_that!(node.send("/keyed/", keyed).await.status, eq(200));
    }
    busy.state.set_behavior(Behavior::Hang, "");
    let long_prompt = format!("x-tokens: {LONG_PROMPT}\r\n");
    let _stream = caller::open(node.callers, &caller::request("/once/", &long_prompt)).await;
    sleep(Duration::from_millis(100)).await;
    node.send("/keyed/", keyed).await.body
}

#[gtest]
#[tokio::test]
async fn shares_are_based_on_servers_that_accept_prompts() {
    expect_that!(
        refusal_after_usage(2_000, false).await,
        contains_substring("busy")
    );
    expect_that!(
        refusal_after_usage(2_000, true).await,
        contains_substring("over_share")
    );
}
