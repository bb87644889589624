//! Callers that read slowly, at gateways that know their memory.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use mulberryyoke_decide::buffer::STALL_MS;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, FLOOD_BYTES};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{self, Node};

const PROMPT: &str = "x-tokens: 100\r\n";

/// Memory of a small node, in megabytes: a flood fits its budget.
const MEMORY_MB: u64 = 120;

/// Memory of a node whose budget is a fraction of a flood, in megabytes.
const SHORT_MEMORY_MB: u64 = 4;

/// Timeout of the requests, in milliseconds: longer than a caller may stall.
const TIMEOUT_MS: u64 = 9_000;

/// Time in which a stalled caller is cut, in milliseconds. The gateway postpones it by the time in
/// which it could not run itself.
const CUT_MS: u64 = STALL_MS + 4_000;

/// Starts a gateway with this much memory, whose requests time out after [`TIMEOUT_MS`].
async fn ready_with(backends: &[&Backend], memory_mb: Option<u64>) -> (Arc<Service>, Node) {
    let (service, node) = fleet::ready_with(backends, memory_mb).await;
    service.set("config", Some(&format!("6 secret timeout={TIMEOUT_MS}")));
    // Longer than a change takes to arrive.
    sleep(Duration::from_millis(500)).await;
    (service, node)
}

/// Waits until the counter of cut callers has risen; `false` if it doesn't within [`CUT_MS`].
async fn is_cut(node: &Node, cause: &str, before: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(CUT_MS);
    while Instant::now() < until {
        if cuts(node, cause).await > before {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Waits until a condition holds; `false` if it doesn't in this time.
async fn holds_within(ms: u64, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    condition()
}

/// Opens a stream, and reads no more than a part of it.
async fn stalled(node: &Node, path: &str) -> TcpStream {
    let mut stream = caller::open_slow(node.callers, &caller::request(path, PROMPT)).await;
    let mut part = [0; 4_096];
    let read = stream.read(&mut part).await.expect("the response begins");
    assert!(part[..read].starts_with(b"HTTP/1.1 200"), "no response");
    stream
}

/// Value of the counter of cut callers, over all tests of this process.
async fn cuts(node: &Node, cause: &str) -> u64 {
    let metrics = node.metrics().await;
    let prefix = format!("callers_cut_total{{why=\"{cause}\"}} ");
    let value = metrics.lines().find_map(|line| line.strip_prefix(&*prefix));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

#[gtest]
#[tokio::test]
async fn a_caller_that_stops_reading_does_not_hold_its_server_and_is_cut() {
    for (behavior, path) in [
        (Behavior::Flood, "/stream/"),
        (Behavior::FloodBody, "/once/"),
    ] {
        let backend = Backend::spawn(behavior).await;
        let (_service, node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
        let cuts_before = cuts(&node, "stalled").await;
        let mut caller = stalled(&node, path).await;
        let is_finished = holds_within(CUT_MS, || backend.state.finished_floods() == 1).await;
        expect_that!(is_finished, eq(true), "{behavior:?}");
        let is_cut = is_cut(&node, "stalled", cuts_before).await;
        expect_that!(is_cut, eq(true), "{behavior:?}");
        // The caller finds a broken response, not one that looks complete.
        let response = caller::read_to_end(&mut caller).await;
        expect_that!(response.is_complete, eq(false), "{behavior:?}");
        expect_that!(response.body.len(), lt(FLOOD_BYTES), "{behavior:?}");
        expect_that!(response.body, not(ends_with("0\r\n\r\n")), "{behavior:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_caller_that_reads_slowly_but_steadily_gets_its_whole_response() {
    for (behavior, path) in [
        (Behavior::Flood, "/stream/"),
        (Behavior::FloodBody, "/once/"),
    ] {
        let backend = Backend::spawn(behavior).await;
        // The body takes its caller longer than the timeout of the request, which its server
        // meets.
        let (_service, node) = if behavior == Behavior::FloodBody {
            fleet::ready_with(&[&backend], Some(MEMORY_MB)).await
        } else {
            ready_with(&[&backend], Some(MEMORY_MB)).await
        };
        let mut caller = stalled(&node, path).await;
        let mut received = 0;
        let mut end = Vec::new();
        let mut part = vec![0; 64 << 10];
        loop {
            let read = caller.read(&mut part).await.expect("the response goes on");
            if read == 0 {
                break;
            }
            received += read;
            end.extend_from_slice(&part[read.saturating_sub(5)..read]);
            sleep(Duration::from_millis(16)).await;
        }
        expect_that!(received, gt(FLOOD_BYTES - 8_192), "{behavior:?}");
        let is_ended = behavior == Behavior::FloodBody || end.ends_with(b"0\r\n\r\n");
        expect_that!(is_ended, eq(true), "{behavior:?}");
        expect_that!(backend.state.finished_floods(), eq(1), "{behavior:?}");
    }
}

#[gtest]
#[tokio::test]
async fn callers_are_cut_when_the_budget_is_short_and_their_neighbors_are_not() {
    let backend = Backend::spawn(Behavior::EndlessFlood).await;
    let (_service, node) = ready_with(&[&backend], Some(SHORT_MEMORY_MB)).await;
    let cuts_before = cuts(&node, "exceeded").await;
    let start = Instant::now();
    let mut callers = Vec::new();
    for _ in 0..6 {
        callers.push(stalled(&node, "/stream/").await);
        // Callers that come at once get equal shares, and none is cut for another.
        sleep(Duration::from_millis(150)).await;
    }
    // Their servers' work ends with the cut, before any timeout.
    expect_that!(is_cut(&node, "exceeded", cuts_before).await, eq(true));
    let is_ended = holds_within(1_000, || backend.state.disconnects() >= 1).await;
    expect_that!(is_ended, eq(true));
    expect_that!(start.elapsed(), lt(Duration::from_millis(TIMEOUT_MS)));
    backend.state.set_behavior(Behavior::Stream, "");
    for _ in 0..5 {
        let start = Instant::now();
        let response = node.send("/stream/", PROMPT).await;
        expect_that!((response.status, response.is_complete), eq((200, true)));
        // Four events with pauses of 20 ms.
        expect_that!(start.elapsed(), lt(Duration::from_millis(500)));
    }
    for mut caller in callers {
        let response = caller::read_to_end(&mut caller).await;
        expect_that!(response.is_complete, eq(false));
    }
}

#[gtest]
#[tokio::test]
async fn a_gateway_with_slow_callers_stops_within_the_grace_period() {
    let backend = Backend::spawn(Behavior::EndlessFlood).await;
    let (_service, mut node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
    let mut callers = Vec::new();
    for _ in 0..4 {
        callers.push(stalled(&node, "/stream/").await);
    }
    let gateway = node.gateway.take().expect("gateway is running");
    let start = Instant::now();
    gateway.stop().await;
    expect_that!(start.elapsed(), lt(Duration::from_secs(6)));
    for mut caller in callers {
        let response = caller::read_to_end(&mut caller).await;
        expect_that!(response.is_complete, eq(false));
    }
}

#[gtest]
#[tokio::test]
async fn responses_are_relayed_unchanged() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
    let table = [
        (Behavior::Stream, "/stream/", 200),
        (Behavior::Stream, "/resumable/", 200),
        (Behavior::CutStream, "/stream/", 200),
        (Behavior::Answer, "/once/", 200),
        (Behavior::Large, "/once/", 200),
        (Behavior::Truncate, "/once/", 502),
    ];
    for (behavior, path, status) in table {
        backend.state.set_behavior(behavior, "");
        let response = node.send(path, PROMPT).await;
        expect_that!(response.status, eq(status), "{behavior:?} {path}");
        let is_complete = behavior != Behavior::CutStream;
        expect_that!(response.is_complete, eq(is_complete), "{behavior:?} {path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_truncated_stream_is_resumed_in_the_same_account() {
    let (cut, whole) = (
        Backend::spawn(Behavior::CutStream).await,
        Backend::spawn(Behavior::Stream).await,
    );
    let (_service, node) = ready_with(&[&cut, &whole], Some(MEMORY_MB)).await;
    for _ in 0..4 {
        let response = node.send("/resumable/", PROMPT).await;
        expect_that!(response.is_complete, eq(true));
        for event in 1..=4 {
            expect_that!(response.body, contains_substring(format!("id: {event}\n")));
        }
    }
}
