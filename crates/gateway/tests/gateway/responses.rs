//! Responses to callers: status, forwarded headers, timeouts and large bodies.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, LARGE_BODY_BYTES, State, field, read_request};
use crate::caller;
use crate::fleet::ready;
use crate::protocol::TIMEOUT_MS;

#[gtest]
#[tokio::test]
async fn response_status_matches_the_server_outcome() {
    let table = [
        (Behavior::Answer, "/once/", 200),
        (Behavior::Fail, "/once/", 500),
        (Behavior::Reject, "/once/", 503),
        (Behavior::WrongServer, "/once/", 503),
        (Behavior::Close, "/once/", 502),
        (Behavior::WrongRequestId, "/once/", 502),
        (Behavior::Unsealed, "/once/", 502),
        (Behavior::Truncate, "/once/", 502),
        (Behavior::Encode, "/once/", 502),
        (Behavior::Hang, "/once/", 504),
        (Behavior::Close, "/idempotent/", 502),
        (Behavior::Answer, "/idempotent/", 200),
    ];
    for (behavior, path, status) in table {
        let backend = Backend::spawn(behavior).await;
        let (_service, node) = ready(&[&backend]).await;
        let response = node.send(path, "").await;
        expect_that!(response.status, eq(status), "{behavior:?} {path}");
        expect_that!(response.is_complete, eq(true), "{behavior:?} {path}");
        expect_that!(backend.state.heads().len(), eq(1), "{behavior:?} {path}");
    }
}

#[gtest]
#[tokio::test]
async fn rejected_request_gets_a_retry_after_header() {
    let backend = Backend::spawn(Behavior::Reject).await;
    let (_service, node) = ready(&[&backend]).await;
    let response = node.send("/once/", "").await;
    expect_that!(response.head, contains_substring("retry-after: 0."));
}

#[gtest]
#[tokio::test]
async fn request_is_forwarded_with_the_gateways_headers() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&backend]).await;
    let header_lines = "Authorization: Bearer secret\r\nx-customer: forged\r\nx-own: kept\r\nx-patience-ms: 900\r\n";
    let response = node.send("/keyed/a/b?c=%20d", header_lines).await;
    expect_that!(response.status, eq(200));
    let heads = backend.state.heads();
    let head = &heads[0];
    expect_that!(head, starts_with("post /keyed/a/b?c=%20d http/1.1"));
    expect_that!(field(head, "x-customer"), some(eq("noor")));
    expect_that!(field(head, "x-server"), some(eq("plain-0")));
    expect_that!(field(head, "x-own"), some(eq("kept")));
    expect_that!(field(head, "authorization"), none());
    expect_that!(field(head, "connection"), none());
    let left_ms: u64 = field(head, "x-left-ms")
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(0);
    expect_that!(left_ms, all!(gt(400), le(900)));
}

#[gtest]
#[tokio::test]
async fn invalid_requests_are_refused_and_not_forwarded() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&backend]).await;
    let large = format!("x-large: {}\r\n", "x".repeat(20_000));
    let table = [
        (caller::request("/nowhere/", ""), 404),
        (caller::request("/keyed/", ""), 401),
        (
            caller::request("/keyed/", "Authorization: Bearer wrong\r\n"),
            401,
        ),
        (caller::request("/once/", &large), 431),
        (
            caller::request("/once/", "").replace("x-id: q1\r\n", ""),
            400,
        ),
        (caller::request("/once/", "Content-Length: 3\r\n"), 400),
        (
            caller::request("/once/", "").replace("Length: 2", "Length: 2000"),
            413,
        ),
        ("GARBAGE\r\n\r\n".to_owned(), 400),
    ];
    for (request, status) in table {
        let text = request.replacen("hi", &"h".repeat(2_000), usize::from(status == 413));
        let response = caller::send(node.callers, &text).await;
        let prefix: String = request.chars().take(60).collect();
        expect_that!(response.status, eq(status), "{prefix}");
    }
    expect_that!(backend.state.heads().len(), eq(0));
}

#[gtest]
#[tokio::test]
async fn request_in_a_chunked_body_is_not_smuggled() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&backend]).await;
    let inner = "POST /once/inner HTTP/1.1\r\nx-id: q2\r\n\r\n";
    let chunk = format!("{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len());
    let request = caller::request("/once/", "Transfer-Encoding: chunked\r\n")
        .replace("Content-Length: 2\r\n\r\nhi", &format!("\r\n{chunk}"));
    let response = caller::send(node.callers, &request).await;
    expect_that!(response.status, eq(200));
    let heads = backend.state.heads();
    expect_that!(heads.len(), eq(1));
    expect_that!(field(&heads[0], "transfer-encoding"), none());
}

#[gtest]
#[tokio::test]
async fn hanging_request_times_out_at_the_route_timeout() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, node) = ready(&[&backend]).await;
    let start = Instant::now();
    let response = node.send("/once/", "").await;
    let elapsed = start.elapsed();
    expect_that!(response.status, eq(504));
    expect_that!(elapsed, ge(Duration::from_millis(TIMEOUT_MS - 50)));
    expect_that!(elapsed, lt(Duration::from_millis(TIMEOUT_MS + 500)));
}

#[gtest]
#[tokio::test]
async fn incomplete_body_times_out() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&backend]).await;
    let request = caller::request("/once/", "").replace("Length: 2", "Length: 20");
    let response = caller::send(node.callers, &request).await;
    expect_that!(response.status, eq(408));
    expect_that!(backend.state.heads().len(), eq(0));
}

#[gtest]
#[tokio::test]
async fn connection_with_an_incomplete_head_is_closed() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&backend]).await;
    let start = Instant::now();
    let response = caller::send(node.callers, "POST /once/ HTTP/1.1\r\n").await;
    expect_that!(response.status, any!(eq(0), eq(408)));
    expect_that!(start.elapsed(), lt(Duration::from_secs(7)));
}

#[gtest]
#[tokio::test]
async fn server_connection_closes_when_the_caller_disconnects() {
    let backend = Backend::spawn(Behavior::Hang).await;
    let (_service, node) = ready(&[&backend]).await;
    let stream = caller::open(node.callers, &caller::request("/once/", "")).await;
    while backend.state.heads().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    sleep(Duration::from_millis(300)).await;
    expect_that!(backend.state.disconnects(), eq(1));
}

#[gtest]
#[tokio::test]
async fn large_response_is_relayed_completely() {
    let backend = Backend::spawn(Behavior::Large).await;
    let (_service, node) = ready(&[&backend]).await;
    for path in ["/once/", "/idempotent/"] {
        let response = node.send(path, "").await;
        expect_that!(
            (response.status, response.is_complete),
            eq((200, true)),
            "{path}"
        );
        let received = response.body.bytes().filter(|byte| *byte == b'x').count();
        expect_that!(received, eq(LARGE_BODY_BYTES), "{path}");
    }
    expect_that!(backend.state.heads().len(), eq(2));
}

/// Starts a server that speaks HTTP/1.0, in which no answer has chunks, and answers with this body.
async fn spawn_http_1_0(body: &'static str) -> Backend {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let Some((head, _)) = read_request(&mut stream).await else {
                continue;
            };
            let text = if head.starts_with("get /health ") {
                let name = field(&head, "x-server").unwrap_or_default();
                format!("HTTP/1.0 200 OK\r\nx-instance: {name}\r\n\r\n")
            } else {
                format!("HTTP/1.0 200 OK\r\nx-id: q1\r\nx-seal: s\r\n\r\n{body}")
            };
            // The gateway may have closed the connection.
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    let state = Arc::new(State::new(Behavior::Answer));
    Backend { address, state }
}

#[gtest]
#[tokio::test]
async fn the_end_of_a_stream_from_an_http_1_0_server_shows_whether_it_is_whole() {
    let table = [
        ("id: 1\ndata: a\n\n", true),
        ("id: 1\ndata: a\n\nid: 2\nda", false),
    ];
    for (body, is_whole) in table {
        let backend = spawn_http_1_0(body).await;
        let (_service, node) = ready(&[&backend]).await;
        let response = node.send("/stream/", "x-tokens: 100\r\n").await;
        expect_that!(response.status, eq(200));
        expect_that!(response.body, contains_substring("id: 1"));
        expect_that!(response.head, starts_with("http/1.1"), "{body:?}");
        expect_that!(response.is_complete, eq(is_whole), "{body:?}");
    }
}
