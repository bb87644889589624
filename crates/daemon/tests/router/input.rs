//! Callers' input, good and bad.

use std::net::SocketAddr;

use googletest::prelude::*;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use mulberryyoke_model::Class;
use serde_json::json;
use tokio::net::TcpStream;

use crate::caller::{completion, post, raw, read, send, with};
use crate::fake_sidecar::{Behavior, FakeSidecar};
use crate::fleet::{Fleet, MODEL, SERVICE, customer_id};

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n\
                    authorization: Bearer key-scouts\r\n";

async fn one() -> (FakeSidecar, Fleet) {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let limits = json!({"limits": {"body_bytes": 1000, "head_ms": 200, "connections": 8}});
    let fleet = Fleet::spawn(&[&fake], &limits).await;
    (fake, fleet)
}

#[gtest]
#[tokio::test]
async fn requests_the_router_cannot_read_are_refused_not_run() {
    let (mut fake, fleet) = one().await;
    let large = "x".repeat(1001);
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
            post("/v1/completions", &large),
            413,
            "body_too_large",
        ),
        (
            "unknown key",
            with(completion(), "authorization", "Bearer none"),
            401,
            "invalid_api_key",
        ),
        (
            "other scheme",
            with(completion(), "authorization", "Basic key"),
            401,
            "invalid_api_key",
        ),
        (
            "bad class",
            with(completion(), "x-urgency", "now"),
            400,
            "invalid_header",
        ),
        (
            "bad deadline",
            with(completion(), "x-deadline", "soon"),
            400,
            "invalid_header",
        ),
        (
            "bad hint",
            with(completion(), "x-cost-hint", "-1"),
            400,
            "invalid_header",
        ),
        (
            "empty key",
            with(completion(), "idempotency-key", ""),
            400,
            "invalid_header",
        ),
        (
            "past deadline",
            with(completion(), "x-deadline", "1"),
            504,
            "deadline_passed",
        ),
    ];
    for (row, request, status, code) in rows {
        let reply = send(fleet.address(), request).await;
        expect_that!(
            reply.refusal(),
            eq(&(status, code.to_owned(), "not-run")),
            "{row}"
        );
        expect_that!(reply.header("x-request-id"), not(eq("")), "{row}");
    }
    expect_that!(fake.drain_requests(), eq(0));
}

#[gtest]
#[tokio::test]
async fn broken_http_is_answered_or_closed_and_the_router_goes_on() {
    let (_fake, fleet) = one().await;
    let flood = format!("{HEAD}x-flood: {}\r\n\r\n", "x".repeat(100_000));
    let many = format!("{HEAD}{}\r\n", "x-more: 1\r\n".repeat(200));
    let chunked = format!(
        "{HEAD}transfer-encoding: chunked\r\n\r\n400\r\n{}\r\n",
        "x".repeat(1024)
    );
    let rows = [
        ("malformed", "NONSENSE\r\n\r\n".to_owned(), "HTTP/1.1 400"),
        ("header flood", flood, "HTTP/1.1 431"),
        ("too many headers", many, "HTTP/1.1 431"),
        ("large chunked body", chunked, "HTTP/1.1 413"),
        ("slow head", HEAD.to_owned(), ""),
        ("no head", String::new(), ""),
        (
            "slow body",
            format!("{HEAD}content-length: 9\r\n\r\n{{"),
            "HTTP/1.1 408",
        ),
    ];
    for (row, bytes, start) in rows {
        let answer = raw(fleet.address(), bytes.as_bytes(), false).await;
        expect_that!(answer, starts_with(start), "{row}");
    }
    let closed = raw(fleet.address(), HEAD.as_bytes(), true).await;
    expect_that!(closed, not(starts_with("HTTP/1.1 200")), "half-closed");
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn connections_beyond_the_bound_wait() {
    let (_fake, fleet) = one().await;
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(TcpStream::connect(fleet.address()).await.unwrap());
    }
    // Answered once the router has closed the idle ones.
    let reply = send(fleet.address(), completion()).await;
    expect_that!(reply.status.as_u16(), eq(200));
}

#[gtest]
#[tokio::test]
async fn a_request_reaches_its_server_as_it_came() {
    let (mut fake, fleet) = one().await;
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
        request = with(request, name, value);
    }
    *request.uri_mut() = "/v1/chat/completions?a=b".parse().unwrap();
    let reply = send(fleet.address(), request).await;
    let text = reply.text.as_deref().unwrap();
    expect_that!((reply.status.as_u16(), text), eq((200, "ok")));
    let arrival = fake.next_request().await;
    expect_that!(arrival.path, eq("/v1/chat/completions?a=b"));
    expect_that!(arrival.headers.get("x-own"), some(anything()));
    for gone in ["x-hop", "authorization", "connection"] {
        expect_that!(arrival.headers.get(gone), none(), "{gone}");
    }
    let body: serde_json::Value = serde_json::from_slice(&arrival.body).unwrap();
    expect_that!(body["model"], eq(MODEL));
    let ticket = arrival.ticket;
    expect_that!(ticket.customer, eq(customer_id()));
    expect_that!(ticket.class, eq(Class::Urgent));
    expect_that!(
        (ticket.deadline, ticket.hint, ticket.cost),
        eq((deadline, 77, 77))
    );
    expect_that!((ticket.key, ticket.grant), eq((None, None)));
    expect_that!(
        reply.header("x-request-id"),
        eq(&ticket.attempt.request_id())
    );
}

/// A sidecar remembers a withdrawn attempt for the retention time only.
#[gtest]
#[tokio::test]
async fn a_tickets_deadline_is_at_most_the_retention_time_ahead() {
    const RETENTION: u64 = 600_000;

    let (mut fake, fleet) = one().await;
    let earliest = now() + RETENTION;
    let far = with(completion(), "x-deadline", "99999999999999");
    send(fleet.address(), far).await;
    let deadline = fake.next_request().await.ticket.deadline;
    expect_that!(deadline, all![ge(earliest), le(now() + RETENTION)]);
}

fn now() -> u64 {
    let now = std::time::SystemTime::now();
    let now = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

#[gtest]
#[tokio::test]
async fn plain_services_are_reached_by_route() {
    let mut fake = FakeSidecar::bind("b1", SERVICE, 4).await;
    let fleet = Fleet::spawn(&[&fake], &json!({})).await;
    let mut get = post("/slots/friday?room=2", "");
    *get.method_mut() = hyper::Method::GET;
    for (request, keyed) in [(get, false), (post("/slots/friday?room=2", "book"), true)] {
        let reply = send(fleet.address(), request).await;
        expect_that!(reply.status.as_u16(), eq(200));
        let arrival = fake.next_request().await;
        expect_that!(arrival.path, eq("/slots/friday?room=2"));
        expect_that!(arrival.ticket.key.is_some(), eq(keyed));
        expect_that!(arrival.ticket.cost, eq(5));
    }
}

#[gtest]
#[tokio::test]
async fn models_are_listed() {
    let (_fake, fleet) = one().await;
    let mut request = post("/v1/models", "");
    *request.method_mut() = hyper::Method::GET;
    let reply = send(fleet.address(), request.clone()).await;
    let list: serde_json::Value = serde_json::from_str(reply.text.as_deref().unwrap()).unwrap();
    expect_that!(list["data"][0]["id"], eq(MODEL));
    let reply = send(
        fleet.address(),
        with(request, "authorization", "Bearer none"),
    )
    .await;
    expect_that!(reply.status.as_u16(), eq(401));
}

/// Sends a request over HTTP/2 and reads the head of its answer.
async fn open_http2(address: SocketAddr) -> Response<Incoming> {
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
async fn callers_may_speak_http2() {
    let (fake, fleet) = one().await;
    let reply = read(open_http2(fleet.address()).await).await;
    expect_that!(reply.status.as_u16(), eq(200));
    expect_that!(reply.text, ok(eq("ok")));
    fake.on_next_request(Behavior::Abort("data: 1\n\n"));
    let response = open_http2(fleet.address()).await;
    fake.release();
    // The stream is reset, so that the answer does not look whole.
    expect_that!(read(response).await.text, err(anything()));
}

#[gtest]
#[tokio::test]
async fn a_caller_that_does_not_read_loses_its_answer_and_frees_its_server() {
    let fake = FakeSidecar::bind("s1", MODEL, 4).await;
    let limits = json!({"limits": {"stall_ms": 100}});
    let fleet = Fleet::spawn(&[&fake], &limits).await;
    fake.on_next_request(Behavior::Endless);
    let response = crate::caller::open(fleet.address(), completion()).await;
    fake.wait_cancelled().await;
    let reply = read(response).await;
    expect_that!(reply.text, err(anything()));
}
