//! Bytes from servers that are no answer and do not end.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller::Response;
use crate::fleet::{Node, ready_at};
use crate::protocol::TIMEOUT_MS;
use crate::shaped_server::{End, Script, ShapedServer};

const PROMPT: &str = "x-tokens: 100\r\n";

/// Size of repeated bytes, in bytes.
const REPEATED_BYTES: usize = 64 << 10;

/// Repeated bytes that a server may get rid of before the gateway closes the connection. Most of it
/// are the buffers of the sockets.
const MAX_SENT_BYTES: u64 = 12 << 20;

/// Time beyond the request's deadline within which the response ends.
const MARGIN: Duration = Duration::from_millis(400);

/// Time in which a server notices that its connection was closed.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// Time to a failure that does not wait for a deadline.
const IMMEDIATE: Duration = Duration::from_millis(TIMEOUT_MS - 500);

const SEALED: &str = "HTTP/1.1 200 OK\r\nx-id: q1\r\nx-seal: s\r\n";

fn endless(begin: &str, repeated: &str) -> Script {
    let count = REPEATED_BYTES / repeated.len();
    Script {
        parts: vec![begin.as_bytes().to_vec()],
        end: End::Endless(repeated.repeat(count).into_bytes()),
    }
}

/// Heads and bodies without end that no client can take for an answer.
fn malformed() -> Vec<(&'static str, Script)> {
    let chunked = format!("{SEALED}transfer-encoding: chunked\r\n\r\n");
    let trailers = format!("{chunked}4\r\ndone\r\n0\r\n");
    let informational = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
    vec![
        ("informational responses", endless("", informational)),
        ("header lines", endless(SEALED, "x-more: 1\r\n")),
        (
            "one header line",
            endless(&format!("{SEALED}x-more: "), "x"),
        ),
        ("status line", endless("HTTP/1.1 200 ", "x")),
        ("no protocol", endless("", "x")),
        ("chunk extensions", endless(&format!("{chunked}4;a="), "x")),
        ("trailers", endless(&trailers, "x-more: 1\r\n")),
    ]
}

/// Streams without end that have no event after the second.
fn eventless(begin: &str) -> Vec<(&'static str, Script)> {
    let head = format!("{SEALED}content-type: text/event-stream\r\n\r\n{begin}");
    vec![
        ("one event", endless(&format!("{head}id: 3\ndata: "), "x")),
        ("no empty line", endless(&head, "data: t\n")),
        ("comments", endless(&head, ": comment\n\n")),
        ("empty lines", endless(&head, "\n\n")),
        ("no line", endless(&head, "\0")),
    ]
}

fn event_ids(response: &Response) -> Vec<u64> {
    let lines = response.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Expects that the connections of all requests were closed before long.
async fn expect_closed(server: &ShapedServer, name: &str) {
    sleep(CLOSE_TIME).await;
    expect_that!(server.closed(), eq(server.requests()), "{name}");
    let sent = server.bytes() / server.requests().max(1);
    expect_that!(sent, lt(MAX_SENT_BYTES), "{name}");
}

/// Sends requests until the server has received one, and returns its response.
async fn until_received(node: &Node, server: &ShapedServer, path: &str) -> Response {
    for _ in 0..60 {
        let response = node.send(path, PROMPT).await;
        if server.requests() > 0 {
            return response;
        }
    }
    panic!("the server received no request");
}

#[gtest]
#[tokio::test]
async fn endless_bytes_that_are_no_answer_are_a_failure_at_once() {
    for (name, script) in malformed() {
        let server = ShapedServer::spawn(script).await;
        let (_service, node) = ready_at(&[server.address], None).await;
        let start = Instant::now();
        let response = node.send("/once/", "").await;
        expect_that!(start.elapsed(), lt(IMMEDIATE), "{name}");
        expect_that!(response.status, eq(502), "{name}");
        expect_that!(response.is_complete, eq(true), "{name}");
        expect_closed(&server, name).await;
    }
}

#[gtest]
#[tokio::test]
async fn another_server_answers_where_one_sends_endless_bytes_that_are_no_answer() {
    for (name, script) in malformed() {
        let server = ShapedServer::spawn(script).await;
        let sound = Backend::spawn(Behavior::Answer).await;
        let (_service, node) = ready_at(&[server.address, sound.address], None).await;
        let response = until_received(&node, &server, "/idempotent/").await;
        expect_that!(response.status, eq(200), "{name}");
        expect_that!(response.body, eq("done"), "{name}");
        expect_closed(&server, name).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_change_of_protocol_is_no_answer() {
    for upgrade in ["", "connection: upgrade\r\nupgrade: any\r\n"] {
        let head = format!("HTTP/1.1 101 Any\r\nx-id: q1\r\nx-seal: s\r\n{upgrade}\r\n");
        let server = ShapedServer::spawn(endless(&head, "x")).await;
        let (_service, node) = ready_at(&[server.address], None).await;
        for path in ["/once/", "/stream/"] {
            let response = node.send(path, PROMPT).await;
            expect_that!(response.status, eq(502), "{path} {upgrade}");
            expect_that!(response.is_complete, eq(true), "{path} {upgrade}");
        }
        expect_closed(&server, upgrade).await;
    }
}

#[gtest]
#[tokio::test]
async fn endless_plain_bodies_are_broken_off_at_the_deadline() {
    for header in ["", "transfer-encoding: chunked\r\n"] {
        let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
        let repeated = if header.is_empty() { "x" } else { &chunk };
        let script = endless(&format!("{SEALED}{header}\r\n"), repeated);
        let server = ShapedServer::spawn(script).await;
        let (_service, node) = ready_at(&[server.address], None).await;
        let start = Instant::now();
        let response = node.send("/once/", "").await;
        let limit = Duration::from_millis(TIMEOUT_MS) + MARGIN;
        expect_that!(start.elapsed(), lt(limit), "{header}");
        expect_that!(response.is_complete, eq(false), "{header}");
        sleep(CLOSE_TIME).await;
        expect_that!(server.closed(), eq(1), "{header}");
    }
}

#[gtest]
#[tokio::test]
async fn endless_bytes_that_are_no_events_end_a_stream() {
    for begin in ["", "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"] {
        for (name, script) in eventless(begin) {
            let server = ShapedServer::spawn(script).await;
            let (_service, node) = ready_at(&[server.address], None).await;
            let start = Instant::now();
            let response = node.send("/stream/", PROMPT).await;
            expect_that!(start.elapsed(), lt(IMMEDIATE), "{name}");
            expect_that!(response.is_complete, eq(false), "{name}");
            let count = if begin.is_empty() { 0 } else { 2 };
            expect_that!(event_ids(&response).len(), eq(count), "{name}");
            expect_closed(&server, name).await;
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_stream_goes_on_elsewhere_where_a_server_sends_endless_bytes_that_are_no_events() {
    for begin in ["", "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"] {
        for (name, script) in eventless(begin) {
            let server = ShapedServer::spawn(script).await;
            let sound = Backend::spawn(Behavior::Stream).await;
            let (_service, node) = ready_at(&[server.address, sound.address], None).await;
            let response = until_received(&node, &server, "/resumable/").await;
            expect_that!(event_ids(&response), eq(&[1, 2, 3, 4]), "{name}");
            expect_that!(response.is_complete, eq(true), "{name}");
            expect_closed(&server, name).await;
        }
    }
}

#[gtest]
#[tokio::test]
async fn bytes_that_are_no_events_do_not_keep_a_stream_from_stalling() {
    for repeated in [": comment\n\n", "data: t\n", "\0"] {
        let script = Script {
            parts: vec![format!("{SEALED}\r\n").into_bytes()],
            end: End::Endless(repeated.as_bytes().to_vec()),
        };
        let server = ShapedServer::spawn(script).await;
        let sound = Backend::spawn(Behavior::Stream).await;
        let (_service, node) = ready_at(&[server.address, sound.address], None).await;
        let response = until_received(&node, &server, "/resumable/").await;
        expect_that!(event_ids(&response), eq(&[1, 2, 3, 4]), "{repeated:?}");
        expect_that!(response.is_complete, eq(true), "{repeated:?}");
    }
}

#[gtest]
#[tokio::test]
async fn endless_events_are_broken_off_at_the_deadline() {
    let script = endless(&format!("{SEALED}\r\n"), "data: t\n\n");
    let server = ShapedServer::spawn(script).await;
    let (_service, node) = ready_at(&[server.address], None).await;
    let start = Instant::now();
    let response = node.send("/stream/", PROMPT).await;
    expect_that!(
        start.elapsed(),
        lt(Duration::from_millis(TIMEOUT_MS) + MARGIN)
    );
    expect_that!(response.is_complete, eq(false));
    sleep(CLOSE_TIME).await;
    expect_that!(server.closed(), eq(1));
}

#[gtest]
#[tokio::test]
async fn endless_lists_of_cached_parts_are_given_up() {
    let bodies = [("body", endless(&format!("{SEALED}\r\n"), "1 "))];
    for (name, list) in malformed().into_iter().chain(bodies) {
        let answer = Script {
            parts: vec![format!("{SEALED}content-length: 4\r\n\r\ndone").into_bytes()],
            end: End::Keep,
        };
        let server = ShapedServer::spawn_with_list(answer, list).await;
        let (_service, node) = ready_at(&[server.address], None).await;
        sleep(Duration::from_secs(1) + CLOSE_TIME).await;
        expect_that!(server.closed(), eq(1), "{name}");
        expect_that!(server.bytes(), lt(MAX_SENT_BYTES), "{name}");
        expect_that!(node.send("/once/", "").await.status, eq(200), "{name}");
    }
}
