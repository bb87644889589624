//! Servers announce that they are leaving, or push back, in the headers of their responses.
//!
//! A leaving server must get no new requests even if its registration is delayed by an outage of
//! the key-value service. A server that pushes back must be avoided for the requested time,
//! although it is idle and thus looks like the best choice.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, field};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, ready};

/// Time for a change to take effect.
const PROPAGATION: Duration = Duration::from_millis(600);

/// Time within which an immediate response starts.
const IMMEDIATE: Duration = Duration::from_millis(100);

/// Requests of which a usable server gets at least one: each goes to either of two equal servers at
/// random.
const REQUESTS: u32 = 24;

const LEAVING_HEADER: &str = "x-leaving: 1\r\n";

/// Duration of a pushback, and the header that requests it.
const PUSHBACK: Duration = Duration::from_secs(2);
const PUSHBACK_HEADER: &str = "x-rest-ms: 2000\r\n";

/// Time after a pushback in which requests already sent may arrive.
const IN_FLIGHT: Duration = Duration::from_millis(500);

/// Maximum requests to a server from then until the end of the pushback.
const MAX_DURING_PUSHBACK: usize = 2;

fn request_count(backend: &Backend) -> usize {
    backend.state.heads().len()
}

#[gtest]
#[tokio::test]
async fn a_server_that_announces_leaving_in_a_response_gets_no_requests_in_an_outage() {
    let (leaving, stays) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (_service, node) = ready(&[&leaving, &stays]).await;
    node.kv.set_hanging(true);
    leaving.state.set_behavior(Behavior::Answer, LEAVING_HEADER);
    while request_count(&leaving) == 0 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    for _ in 0..10 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    expect_that!(request_count(&leaving), eq(1));
}

/// Registers the first server of the plain pool as an instance with this start time.
fn register_instance(service: &Service, backend: &Backend, started: u64) {
    let value = format!("plain {} ready {started}", backend.address);
    service.set("servers/plain-0", Some(&value));
}

/// Whether a server gets requests. All requests must succeed.
async fn gets_requests(node: &Node, backend: &Backend) -> bool {
    let before = request_count(backend);
    for _ in 0..REQUESTS {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    request_count(backend) > before
}

#[gtest]
#[tokio::test]
async fn a_leaving_server_stays_closed_until_a_new_instance_registers() {
    let (leaving, stays) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&leaving, &stays]).await;
    register_instance(&service, &leaving, 5);
    sleep(PROPAGATION).await;
    leaving.state.set_behavior(Behavior::Answer, LEAVING_HEADER);
    expect_that!(gets_requests(&node, &leaving).await, eq(true));
    leaving.state.set_behavior(Behavior::Answer, "");
    expect_that!(gets_requests(&node, &leaving).await, eq(false));
    service.back_up();
    register_instance(&service, &leaving, 5);
    sleep(PROPAGATION).await;
    expect_that!(
        gets_requests(&node, &leaving).await,
        eq(false),
        "registered again"
    );
    service.set("servers/plain-0", None);
    sleep(PROPAGATION).await;
    register_instance(&service, &leaving, 5);
    sleep(PROPAGATION).await;
    expect_that!(
        gets_requests(&node, &leaving).await,
        eq(false),
        "lapsed and back"
    );
    service.restore();
    sleep(PROPAGATION).await;
    expect_that!(
        gets_requests(&node, &leaving).await,
        eq(false),
        "restored from a backup"
    );
    register_instance(&service, &leaving, 6);
    sleep(PROPAGATION).await;
    expect_that!(
        gets_requests(&node, &leaving).await,
        eq(true),
        "a new instance"
    );
}

#[gtest]
#[tokio::test]
async fn failures_and_stream_heads_announce_leaving_as_well() {
    let table = [
        (Behavior::Fail, "/once/", 500),
        (Behavior::Reject, "/once/", 200),
        (Behavior::Truncate, "/once/", 502),
        (Behavior::HangStream, "/resumable/", 200),
    ];
    for (behavior, path, status) in table {
        let [leaving, stays] = [(); 2].map(|()| Backend::spawn(Behavior::Stream));
        let (leaving, stays) = (leaving.await, stays.await);
        let (_service, node) = ready(&[&leaving, &stays]).await;
        leaving.state.set_behavior(behavior, LEAVING_HEADER);
        // Streams that hang are kept open.
        let mut callers = Vec::new();
        while request_count(&leaving) == 0 {
            let request = caller::request(path, "x-tokens: 10\r\n");
            callers.push(caller::open(node.callers, &request).await);
            sleep(IMMEDIATE).await;
        }
        let last = callers.pop().expect("a request");
        let mut head = [0; 64];
        let read = last.peek(&mut head).await.expect("a response starts");
        expect_that!(
            caller::parse(&head[..read]).status,
            eq(status),
            "{behavior:?}"
        );
        let before = request_count(&leaving);
        for _ in 0..4 {
            expect_that!(node.send(path, "x-tokens: 10\r\n").await.status, eq(200));
        }
        expect_that!(request_count(&leaving), eq(before), "{behavior:?}");
    }
}

#[gtest]
#[tokio::test]
async fn an_unverified_response_closes_no_server() {
    for behavior in [Behavior::WrongRequestId, Behavior::Unsealed] {
        let (first, second) = (
            Backend::spawn(behavior).await,
            Backend::spawn(behavior).await,
        );
        let (_service, node) = ready(&[&first, &second]).await;
        for server in [&first, &second] {
            server.state.set_behavior(behavior, LEAVING_HEADER);
        }
        for _ in 0..4 {
            expect_that!(
                node.send("/once/", "").await.status,
                eq(502),
                "{behavior:?}"
            );
        }
        for server in [&first, &second] {
            server.state.set_behavior(Behavior::Answer, "");
        }
        sleep(PROPAGATION).await;
        expect_that!(
            node.send("/once/", "").await.status,
            eq(200),
            "{behavior:?}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn requests_are_rejected_immediately_if_all_servers_are_leaving() {
    let (first, second) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (_service, node) = ready(&[&first, &second]).await;
    for server in [&first, &second] {
        server.state.set_behavior(Behavior::Answer, LEAVING_HEADER);
    }
    let statuses = [node.send("/once/", "").await, node.send("/once/", "").await];
    expect_that!(statuses.map(|response| response.status), eq([200, 200]));
    let started_at = Instant::now();
    let response = node.send("/once/", "").await;
    expect_that!(response.status, eq(503));
    expect_that!(response.head, contains_substring("retry-after"));
    expect_that!(started_at.elapsed(), lt(IMMEDIATE));
    expect_that!((request_count(&first), request_count(&second)), eq((1, 1)));
}

#[gtest]
#[tokio::test]
async fn a_server_that_pushes_back_gets_at_most_two_requests_until_the_end() {
    let servers = [(); 3].map(|()| Backend::spawn(Behavior::Reject));
    let [a, b, c] = servers;
    let (a, b, c) = (a.await, b.await, c.await);
    let (_service, node) = ready(&[&a, &b, &c]).await;
    for server in [&a, &b, &c] {
        server.state.set_behavior(Behavior::Reject, PUSHBACK_HEADER);
    }
    let started_at = Instant::now();
    while [&a, &b, &c]
        .into_iter()
        .any(|server| request_count(server) == 0)
    {
        expect_that!(node.send("/once/", "").await.status, eq(503));
    }
    let all_pushed_back = Instant::now();
    sleep(IN_FLIGHT).await;
    let before = [&a, &b, &c].map(request_count);
    // Counts from the first pushback, the earliest one to end.
    let end = started_at + PUSHBACK;
    while Instant::now() < end {
        expect_that!(node.send("/once/", "").await.status, eq(503));
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(all_pushed_back.duration_since(started_at), lt(IN_FLIGHT));
    for (server, before) in [&a, &b, &c].into_iter().zip(before) {
        expect_that!(request_count(server) - before, le(MAX_DURING_PUSHBACK));
    }
}

#[gtest]
#[tokio::test]
async fn requests_are_rejected_with_the_earliest_retry_time_if_all_servers_push_back() {
    let (first, second) = (
        Backend::spawn(Behavior::Reject).await,
        Backend::spawn(Behavior::Reject).await,
    );
    let (_service, node) = ready(&[&first, &second]).await;
    first
        .state
        .set_behavior(Behavior::Reject, "x-rest-ms: 9000\r\n");
    second.state.set_behavior(Behavior::Reject, PUSHBACK_HEADER);
    // The first request is sent to both servers.
    for _ in 0..3 {
        let started_at = Instant::now();
        let response = node.send("/once/", "").await;
        expect_that!(started_at.elapsed(), lt(IMMEDIATE));
        expect_that!(response.status, eq(503));
        expect_that!(response.body, contains_substring("resting"));
        let after = field(&response.head, "retry-after").expect("a retry time");
        let after: f64 = after.parse().expect("seconds");
        expect_that!(after, all!(gt(1.8), le(4.5)));
    }
    expect_that!((request_count(&first), request_count(&second)), eq((1, 1)));
}

#[gtest]
#[tokio::test]
async fn after_a_pushback_requests_are_sent_one_at_a_time_until_one_succeeds() {
    let server = Backend::spawn(Behavior::Reject).await;
    let (_service, node) = ready(&[&server]).await;
    server
        .state
        .set_behavior(Behavior::Reject, "x-rest-ms: 300\r\n");
    expect_that!(node.send("/once/", "").await.status, eq(503));
    server.state.set_behavior(Behavior::Hang, "");
    sleep(Duration::from_millis(350)).await;
    let mut waiting = Vec::new();
    for _ in 0..10 {
        let request = caller::request("/once/", "");
        waiting.push(caller::open(node.callers, &request).await);
    }
    sleep(IMMEDIATE).await;
    expect_that!(
        request_count(&server),
        eq(2),
        "the rejected request and one probe"
    );
    server.state.set_behavior(Behavior::Answer, "");
    sleep(Duration::from_millis(500)).await;
    for _ in 0..10 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn a_pushback_applies_to_one_instance() {
    let (pushing_back, free) = (
        Backend::spawn(Behavior::Reject).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&pushing_back, &free]).await;
    register_instance(&service, &pushing_back, 5);
    sleep(PROPAGATION).await;
    pushing_back
        .state
        .set_behavior(Behavior::Reject, "x-rest-ms: 60000\r\n");
    while request_count(&pushing_back) == 0 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    pushing_back.state.set_behavior(Behavior::Answer, "");
    // The penalty of the failure has decayed.
    sleep(Duration::from_secs(4)).await;
    expect_that!(gets_requests(&node, &pushing_back).await, eq(false));
    service.set("servers/plain-0", None);
    sleep(PROPAGATION).await;
    register_instance(&service, &pushing_back, 5);
    sleep(PROPAGATION).await;
    expect_that!(
        gets_requests(&node, &pushing_back).await,
        eq(false),
        "lapsed and back"
    );
    register_instance(&service, &pushing_back, 6);
    sleep(PROPAGATION).await;
    expect_that!(
        gets_requests(&node, &pushing_back).await,
        eq(true),
        "a new instance"
    );
}
