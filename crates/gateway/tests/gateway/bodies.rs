//! Request bodies held by gateways that know their memory.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, ready_with};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 120_000;

/// Size of the request bodies, in bytes: one has room at a node of one megabyte, two have not.
const BODY_BYTES: usize = 100_000;

/// Starts a gateway that accepts bodies up to [`MAX_BODY_BYTES`].
async fn ready(backend: &Backend, memory_mb: u64) -> (Arc<Service>, Node) {
    let (service, node) = ready_with(&[backend], Some(memory_mb)).await;
    service.set("config", Some(&format!("6 secret body={MAX_BODY_BYTES}")));
    let until = Instant::now() + Duration::from_secs(5);
    while !node.metrics().await.contains("configuration_version 6") {
        assert!(Instant::now() < until, "the configuration did not arrive");
        sleep(Duration::from_millis(20)).await;
    }
    // The metric is shared by the gateways of this process.
    sleep(Duration::from_millis(500)).await;
    (service, node)
}

fn request(path: &str, bytes: usize) -> String {
    caller::request_with_body(path, "x-tokens: 100\r\n", &"b".repeat(bytes))
}

#[gtest]
#[tokio::test]
async fn a_body_is_released_once_no_attempt_can_need_it() {
    // Behavior, path, whether the head of the response arrives, and whether another body has room.
    let table = [
        // Not sent again, since it may run only once.
        (Behavior::HangStream, "/stream/", true, true),
        // Another server may resume it.
        (Behavior::HangStream, "/resumable/", true, false),
        // A server may yet say that it has not run it.
        (Behavior::Hang, "/once/", false, false),
        (Behavior::Hang, "/stream/", false, false),
    ];
    for (behavior, path, is_answered, has_room) in table {
        let backend = Backend::spawn(behavior).await;
        let (_service, node) = ready(&backend, 1).await;
        let mut first = caller::open(node.callers, &request(path, BODY_BYTES)).await;
        if is_answered {
            let mut part = [0; 512];
            let read = first.read(&mut part).await.expect("the response begins");
            assert!(part[..read].starts_with(b"HTTP/1.1 200"), "no response");
        } else {
            sleep(Duration::from_millis(200)).await;
        }
        backend.state.set_behavior(Behavior::Answer, "");
        let response = caller::send(node.callers, &request("/once/", BODY_BYTES)).await;
        let is_refused = response.body.contains("memory_short");
        expect_that!(is_refused, eq(!has_room), "{behavior:?} {path}");
        drop(first);
        // A caller that hangs up releases its body.
        sleep(Duration::from_millis(200)).await;
        let response = caller::send(node.callers, &request("/once/", BODY_BYTES)).await;
        expect_that!(response.status, eq(200), "{behavior:?} {path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_request_without_room_is_refused_and_not_run() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, node) = ready(&backend, 1).await;
    let _first = caller::open(node.callers, &request("/once/", BODY_BYTES)).await;
    sleep(Duration::from_millis(200)).await;
    backend.state.set_behavior(Behavior::Answer, "");
    let response = caller::send(node.callers, &request("/once/", BODY_BYTES)).await;
    expect_that!((response.status, response.is_complete), eq((503, true)));
    expect_that!(response.body, contains_substring("memory_short"));
    expect_that!(response.head, contains_substring("retry-after: "));
    expect_that!(backend.state.heads().len(), eq(1));
    // A small one has room.
    let response = caller::send(node.callers, &request("/once/", 1_000)).await;
    expect_that!(response.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn a_body_counts_as_it_arrives() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&backend, 1).await;
    let whole = request("/once/", BODY_BYTES);
    let (received, rest) = whole.split_at(whole.len() - 10);
    let mut first = caller::open(node.callers, received).await;
    sleep(Duration::from_millis(200)).await;
    // Neither one of known nor one of unknown length has room.
    let response = caller::send(node.callers, &request("/once/", BODY_BYTES)).await;
    expect_that!(response.body, contains_substring("memory_short"));
    let chunked = caller::request("/once/", "x-tokens: 100\r\nTransfer-Encoding: chunked\r\n");
    let chunked = chunked.replace("Content-Length: 2\r\n\r\nhi", "\r\n");
    let chunk = "b".repeat(BODY_BYTES);
    let chunked = format!("{chunked}{BODY_BYTES:x}\r\n{chunk}\r\n0\r\n\r\n");
    let response = caller::send(node.callers, &chunked).await;
    expect_that!(response.status, eq(503));
    expect_that!(response.body, contains_substring("memory_short"));
    expect_that!(backend.state.heads().len(), eq(0));
    // The first is not disturbed.
    first
        .write_all(rest.as_bytes())
        .await
        .expect("the gateway reads");
    let response = caller::read_to_end(&mut first).await;
    expect_that!(response.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn a_retried_request_is_sent_with_its_body() {
    // Guards against a body that is released before the last attempt.
    let (failing, good) = (
        Backend::spawn(Behavior::Fail).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (_service, node) = ready_with(&[&failing, &good], Some(120)).await;
    for behavior in [
        Behavior::Fail,
        Behavior::Close,
        Behavior::Reject,
        Behavior::Truncate,
    ] {
        failing.state.set_behavior(behavior, "");
        for _ in 0..4 {
            let response = node.send("/idempotent/", "").await;
            expect_that!(response.status, eq(200), "{behavior:?}");
        }
    }
    for head in good.state.heads() {
        expect_that!(head, contains_substring("content-length: 2\r\n"));
    }
}
