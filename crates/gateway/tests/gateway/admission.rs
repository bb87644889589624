//! What cannot be served in time is refused at once.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::fleet::{Node, ready};
use crate::protocol::LONG_PROMPT;

/// Has a long prompt be read by the only server.
async fn occupy(node: &Node) -> tokio::net::TcpStream {
    let fields = format!("x-tokens: {LONG_PROMPT}\r\n");
    let stream = caller::open(node.callers, &caller::request("/stream/", &fields)).await;
    sleep(Duration::from_millis(100)).await;
    stream
}

#[gtest]
#[tokio::test]
async fn behind_a_long_prompt_others_are_refused_at_once_and_reach_no_server() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, node) = ready(&[&backend]).await;
    let _long = occupy(&node).await;
    let begun = Instant::now();
    let reply = node.ask("/stream/", "x-tokens: 2000\r\n").await;
    expect_that!(reply.status, eq(503));
    expect_that!(reply.head, contains_substring("retry-after: "));
    expect_that!(begun.elapsed(), lt(Duration::from_millis(50)));
    expect_that!(backend.state.heads().len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_long_prompt_goes_to_an_idle_server_though_it_cannot_be_on_time() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready(&[&backend]).await;
    let fields = format!("x-tokens: {LONG_PROMPT}\r\n");
    expect_that!(node.ask("/stream/", &fields).await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn what_waits_no_longer_counts_no_longer() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, node) = ready(&[&backend]).await;
    let long = occupy(&node).await;
    drop(long);
    sleep(Duration::from_millis(200)).await;
    let request = caller::request("/stream/", "x-tokens: 2000\r\n");
    let _second = caller::open(node.callers, &request).await;
    sleep(Duration::from_millis(200)).await;
    expect_that!(backend.state.heads().len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn a_customer_is_not_charged_for_what_servers_turned_away() {
    let backend = Backend::spawn(Behavior::Reject).await;
    let (service, node) = ready(&[&backend]).await;
    service.set("config", Some("6 tokens=1000 secret"));
    sleep(Duration::from_millis(600)).await;
    let keyed = "Authorization: Bearer secret\r\nx-tokens: 500\r\n";
    for _ in 0..6 {
        expect_that!(node.ask("/keyed/", keyed).await.status, eq(503));
    }
    backend.state.set_behavior(Behavior::Hang, "");
    let long = format!("x-tokens: {LONG_PROMPT}\r\n");
    let _long = caller::open(node.callers, &caller::request("/once/", &long)).await;
    sleep(Duration::from_millis(100)).await;
    let reply = node.ask("/keyed/", keyed).await;
    expect_that!(
        reply.body,
        contains_substring("busy"),
        "it had nothing of its portion"
    );
    expect_that!(reply.status, eq(503));
}

/// What a customer is told whose prompts of 3,500 tokens were just run, while a long prompt is read.
async fn told_after(tokens_per_s: u32, is_other_cold: bool) -> String {
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
        expect_that!(node.ask("/keyed/", keyed).await.status, eq(200));
    }
    busy.state.set_behavior(Behavior::Hang, "");
    let long = format!("x-tokens: {LONG_PROMPT}\r\n");
    let _long = caller::open(node.callers, &caller::request("/once/", &long)).await;
    sleep(Duration::from_millis(100)).await;
    node.ask("/keyed/", keyed).await.body
}

#[gtest]
#[tokio::test]
async fn portions_go_by_the_servers_that_take_prompts() {
    expect_that!(told_after(2_000, false).await, contains_substring("busy"));
    expect_that!(
        told_after(2_000, true).await,
        contains_substring("over_share")
    );
}
