//! Validation and forwarding of callers' requests.

use std::net::SocketAddr;

use googletest::prelude::*;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use mulberryyoke_model::Class;
use serde_json::json;
use tokio::net::TcpStream;

use crate::caller::{completion, post, read_response, send, send_raw, with_header};
use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{Fleet, MODEL, SERVICE, customer_id};

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n\
                    authorization: Bearer key-scouts\r\n";

async fn spawn_single() -> (FakeSidecar, Fleet) {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let changes = json!({"limits": {"body_bytes": 1000, "head_ms": 200, "connections": 8}});
    let fleet = Fleet::spawn(&[&fake], &changes).await;
    (fake, fleet)
}

#[gtest]
#[tokio::test]
async fn invalid_requests_are_refused_as_not_run() {
    let (mut fake, fleet) = spawn_single().await;
    let large_body = "x".repeat(1001);
    let rows = [
        (
            "bad JSON",
            post("/v1/completions", "{"),
            400,
            "invalid_json",
        ),
        (
            "no model",
            post("/v1/completions", "{}"),
            400,
            "invalid_json",
        ),
        (
            "unknown model",
            post("/v1/completions", r#"{"model":"none"}"#),
            404,
            "model_not_found",
        ),
        ("unknown path", post("/none", "{}"), 404, "route_not_found"),
        ("unknown method", post("/slots/a", "{}"), 503, "no_server"),
        (
            "large body",
            post("/v1/completions", &large_body),
            413,
            "body_too_large",
        ),
        (
            "unknown key",
            with_header(completion(), "authorization", "Bearer none"),
            401,
            "invalid_api_key",
        ),
        (
            "other scheme",
            with_header(completion(), "authorization", "Basic key"),
            401,
            "invalid_api_key",
        ),
        (
            "bad class",
            with_header(completion(), "x-urgency", "now"),
            400,
            "invalid_header",
        ),
        (
            "bad deadline",
            with_header(completion(), "x-deadline", "soon"),
            400,
            "invalid_header",
        ),
        (
            "bad hint",
            with_header(completion(), "x-cost-hint", "-1"),
            400,
            "invalid_header",
        ),
        (
            "empty key",
            with_header(completion(), "idempotency-key", ""),
            400,
            "invalid_header",
        ),
        (
            "past deadline",
            with_header(completion(), "x-deadline", "1"),
            504,
            "deadline_passed",
        ),
    ];
    for (name, request, status, code) in rows {
        let response = send(fleet.address(), request).await;
        expect_that!(
            response.refusal(),
            eq(&(status, code.to_owned(), "not-run")),
            "{name}"
        );
        expect_that!(response.header("x-request-id"), not(eq("")), "{name}");
    }
    expect_that!(fake.drain_requests(), eq(0));
}

#[gtest]
#[tokio::test]
async fn malformed_http_is_rejected_and_later_requests_succeed() {
    let (_fake, fleet) = spawn_single().await;
    let large_header = format!("{HEAD}x-flood: {}\r\n\r\n", "x".repeat(100_000));
    let header_count = format!("{HEAD}{}\r\n", "x-more: 1\r\n".repeat(200));
    let chunked_body = format!(
        "{HEAD}transfer-encoding: chunked\r\n\r\n400\r\n{}\r\n",
        "x".repeat(1024)
    );
    let rows = [
        ("malformed", "NONSENSE\r\n\r\n".to_owned(), "HTTP/1.1 400"),
        ("large header", large_header, "HTTP/1.1 431"),
        ("too many headers", header_count, "HTTP/1.1 431"),
        ("large chunked body", chunked_body, "HTTP/1.1 413"),
        ("slow head", HEAD.to_owned(), ""),
        ("no head", String::new(), ""),
        (
            "slow body",
            format!("{HEAD}content-length: 9\r\n\r\n{{"),
            "HTTP/1.1 408",
        ),
    ];
    for (name, bytes, prefix) in rows {
        let response = send_raw(fleet.address(), bytes.as_bytes(), false).await;
        expect_that!(response, starts_with(prefix), "{name}");
    }
    let response = send_raw(fleet.address(), HEAD.as_bytes(), true).await;
    expect_that!(response, not(starts_with("HTTP/1.1 200")), "half-closed");
    let response = send(fleet.address(), completion()).await;
    expect_that!(response.status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn connections_beyond_the_limit_wait() {
    let (_fake, fleet) = spawn_single().await;
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(TcpStream::connect(fleet.address()).await.unwrap());
    }
    // Served once the router has closed idle connections.
    let response = send(fleet.address(), completion()).await;
    expect_that!(response.status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn requests_are_forwarded_with_end_to_end_headers_and_a_ticket() {
    let (mut fake, fleet) = spawn_single().await;
    let mut request = completion();
    let deadline = now() + 300_000;
    for (name, value) in [
        ("x-urgency", "urgent"),
        ("x-deadline", deadline.to_string().as_str()),
        ("x-cost-hint", "77"),
        ("x-own", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "dropped"),
    ] {
        request = with_header(request, name, value);
    }
    *request.uri_mut() = "/v1/chat/completions?a=b".parse().unwrap();
    let response = send(fleet.address(), request).await;
    let text = response.body.as_deref().unwrap();
    expect_that!((response.status.as_u16(), text), eq((200, "ok")));
    let received = fake.next_request().await;
    expect_that!(received.path, eq("/v1/chat/completions?a=b"));
    expect_that!(received.headers.get("x-own"), some(anything()));
    for removed in ["x-hop", "authorization", "connection"] {
        expect_that!(received.headers.get(removed), none(), "{removed}");
    }
    let body: serde_json::Value = serde_json::from_slice(&received.body).unwrap();
    expect_that!(body["model"], eq(MODEL));
    let ticket = received.ticket;
    expect_that!(ticket.customer, eq(customer_id()));
    expect_that!(ticket.class, eq(Class::Urgent));
    expect_that!(
        (ticket.deadline, ticket.hint, ticket.cost),
        eq((deadline, 77, 77))
    );
    expect_that!((ticket.key, ticket.grant), eq((None, None)));
    expect_that!(
        response.header("x-request-id"),
        eq(&ticket.attempt.request_id())
    );
}

/// Sidecars remember withdrawn attempts only for the retention time.
#[gtest]
#[tokio::test]
async fn ticket_deadline_is_capped_at_the_retention_time() {
    const RETENTION_MS: u64 = 600_000;

    let (mut fake, fleet) = spawn_single().await;
    let earliest = now() + RETENTION_MS;
    let request = with_header(completion(), "x-deadline", "99999999999999");
    send(fleet.address(), request).await;
    let deadline = fake.next_request().await.ticket.deadline;
    expect_that!(deadline, all![ge(earliest), le(now() + RETENTION_MS)]);
}

fn now() -> u64 {
    let now = std::time::SystemTime::now();
    let now = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

#[gtest]
#[tokio::test]
async fn services_are_routed_by_method_and_path() {
    let mut fake = FakeSidecar::bind("b1", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    let mut get = post("/slots/friday?room=2", "");
    *get.method_mut() = hyper::Method::GET;
    for (request, keyed) in [(get, false), (post("/slots/friday?room=2", "book"), true)] {
        let response = send(fleet.address(), request).await;
        expect_that!(response.status.as_u16(), eq(200));
        let received = fake.next_request().await;
        expect_that!(received.path, eq("/slots/friday?room=2"));
        expect_that!(received.ticket.key.is_some(), eq(keyed));
        expect_that!(received.ticket.cost, eq(5));
    }
}

#[gtest]
#[tokio::test]
async fn models_are_listed_to_customers() {
    let (_fake, fleet) = spawn_single().await;
    let mut request = post("/v1/models", "");
    *request.method_mut() = hyper::Method::GET;
    let response = send(fleet.address(), request.clone()).await;
    let list: serde_json::Value = serde_json::from_str(response.body.as_deref().unwrap()).unwrap();
    expect_that!(list["data"][0]["id"], eq(MODEL));
    let response = send(
        fleet.address(),
        with_header(request, "authorization", "Bearer none"),
    )
    .await;
    expect_that!(response.status.as_u16(), eq(401));
}

/// Sends a request over HTTP/2 and receives the response head.
async fn receive_head_http2(address: SocketAddr) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let mut request = completion();
    request.headers_mut().remove("host");
    let uri = format!("http://{address}/v1/chat/completions");
    *request.uri_mut() = uri.parse().unwrap();
    sender.send_request(request).await.unwrap()
}

#[gtest]
#[tokio::test]
async fn http2_responses_are_complete_or_reset() {
    let (fake, fleet) = spawn_single().await;
    let response = read_response(receive_head_http2(fleet.address()).await).await;
    expect_that!(response.status.as_u16(), eq(200));
    expect_that!(response.body, ok(eq("ok")));
    fake.on_next_request(Behavior::Abort("data: 1\n\n"));
    let response = receive_head_http2(fleet.address()).await;
    fake.release();
    // The stream is reset, so that the response does not appear complete.
    expect_that!(read_response(response).await.body, err(anything()));
}

#[gtest]
#[tokio::test]
async fn response_to_a_stalled_caller_is_aborted_and_frees_its_server() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let changes = json!({"limits": {"stall_ms": 100}});
    let fleet = Fleet::spawn(&[&fake], &changes).await;
    fake.on_next_request(Behavior::Endless);
    let response = crate::caller::receive_head(fleet.address(), completion()).await;
    fake.wait_cancelled().await;
    let response = read_response(response).await;
    expect_that!(response.body, err(anything()));
}
