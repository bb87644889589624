//! Answers that a server sends while it is still sent the request, and statuses that are none.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::backend::{Backend, Behavior, field};
use crate::caller::{self, Response};
use crate::fleet::{Node, ready_at, ready_for_uploads};

const PROMPT: &str = "x-tokens: 100\r\n";

/// Size of an upload that fits in no socket buffer, in bytes.
const UPLOAD_BYTES: usize = 4_000_000;

/// Part of the upload that the server reads before it answers, in bytes.
const READ_BYTES: usize = 64 << 10;

/// Pauses between the answer and the reset, in milliseconds.
const PAUSES_MS: [u64; 6] = [0, 1, 5, 20, 60, 150];

/// How the server ends the connection while it is still sent the request.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    Close,
}

/// Starts a server that sends an answer as soon as it has read a part of the request.
async fn spawn_early(answer: &'static str, pause_ms: u64, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_early(stream, answer, pause_ms, end));
        }
    });
    address
}

async fn answer_early(mut stream: TcpStream, answer: &str, pause_ms: u64, end: End) {
    let mut received = vec![0; READ_BYTES];
    let read = stream.read(&mut received).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&received[..read]).to_ascii_lowercase();
    if head.starts_with("get /health ") {
        let name = field(&head, "x-server").unwrap_or_default();
        let text = format!("HTTP/1.1 200 Any\r\nx-instance: {name}\r\ncontent-length: 0\r\n\r\n");
        let _ = stream.write_all(text.as_bytes()).await;
        return;
    }
    if head.starts_with("post ") {
        let _ = stream.write_all(answer.as_bytes()).await;
        sleep(Duration::from_millis(pause_ms)).await;
        if matches!(end, End::Reset) {
            stream.set_zero_linger().expect("a reset is possible");
        }
    }
}

/// Starts a gateway that takes such uploads, with these servers.
async fn spawn_node(servers: &[SocketAddr]) -> Node {
    let (_service, node) = ready_for_uploads(servers, UPLOAD_BYTES).await;
    node
}

async fn upload(node: &Node, path: &str) -> Response {
    let body = "x".repeat(UPLOAD_BYTES);
    let request = caller::request_with_body(path, PROMPT, &body);
    caller::send(node.callers, &request).await
}

const PLAIN: &str = "HTTP/1.1 200 OK\r\nx-id: q1\r\nx-seal: s\r\n\r\npart of the body";

const EVENTS: &str = "HTTP/1.1 200 OK\r\nx-id: q1\r\nx-seal: s\r\n\r\nid: 1\ndata: a\n\n";

/// Uploads to servers that answer a part of the upload and end their connection.
async fn expect_not_whole(end: End) {
    for (answer, path) in [(PLAIN, "/once/"), (EVENTS, "/stream/")] {
        let cases = PAUSES_MS.map(async |pause_ms| {
            let server = spawn_early(answer, pause_ms, end).await;
            let node = spawn_node(&[server]).await;
            for _ in 0..3 {
                let response = upload(&node, path).await;
                let is_whole = response.status == 200 && response.is_complete;
                let name = format!("{end:?} {path} {pause_ms} ms: {}", response.status);
                expect_that!(is_whole, eq(false), "{name}");
                let is_failure = response.status == 502;
                expect_that!(is_failure || path == "/stream/", eq(true), "{name}");
            }
        });
        join_all(cases).await;
    }
}

// A part of an answer without a length was taken for the whole if a write failed before the read.
#[gtest]
#[tokio::test]
async fn an_early_answer_that_is_reset_during_the_upload_is_not_whole() {
    expect_not_whole(End::Reset).await;
}

#[gtest]
#[tokio::test]
async fn an_early_answer_that_ends_during_the_upload_is_not_whole() {
    expect_not_whole(End::Close).await;
}

#[gtest]
#[tokio::test]
async fn an_early_answer_that_is_reset_is_repeated_where_it_may_be() {
    let server = spawn_early(PLAIN, 5, End::Reset).await;
    let sound = Backend::spawn(Behavior::Answer).await;
    let node = spawn_node(&[server, sound.address]).await;
    for _ in 0..4 {
        let response = upload(&node, "/idempotent/").await;
        expect_that!(response.status, eq(200));
        expect_that!(response.body, eq("done"));
    }
}

// The caller got a status that the protocol doesn't know.
#[gtest]
#[tokio::test]
async fn a_status_that_is_none_is_a_failure() {
    const TABLE: [&str; 7] = [
        "HTTP/1.1 000 Any\r\nx-id: q1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 099 Any\r\nx-id: q1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 600 Any\r\nx-id: q1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 999 Any\r\nx-id: q1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 2000 Any\r\nx-id: q1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 20 Any\r\nx-id: q1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 -20 Any\r\nx-id: q1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone",
    ];
    for answer in TABLE {
        let server = spawn_early(answer, 0, End::Close).await;
        let (_service, node) = ready_at(&[server], None).await;
        for path in ["/once/", "/stream/"] {
            let response = node.send(path, PROMPT).await;
            expect_that!(response.status, eq(502), "{path} {answer}");
        }
    }
}
