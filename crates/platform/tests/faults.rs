//! Error handling for malformed responses and for endpoints that do not respond.

use std::net::{Ipv4Addr, SocketAddr};

use googletest::prelude::*;
use mulberryyoke_platform::HttpError;
use mulberryyoke_platform::kv::{self, Etcd, Expect, Kv, Options};
use mulberryyoke_platform::vm::{self, Vms};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const OPTIONS: Options = Options {
    connect_timeout_ms: 10_000,
    call_timeout_ms: 500,
    watch_idle_timeout_ms: 10_000,
    max_response_bytes: 1_000,
    page_size: 10,
};

/// What an endpoint does after it has received data.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    /// Writes a response and closes the connection.
    Write(&'static str),
    /// Keeps the connection open without a response.
    Hang,
}

/// Kind of an error whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorKind {
    Disconnected,
    TimedOut,
    TooLarge,
    Status(u16),
    Malformed,
}

async fn spawn_endpoint(reaction: Reaction) -> SocketAddr {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(address).await.expect("port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let mut open_streams = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.expect("connection");
            let read = stream.read(&mut [0; 4_096]).await.expect("request");
            match reaction {
                Reaction::Write(response) if read > 0 => {
                    stream
                        .write_all(response.as_bytes())
                        .await
                        .expect("written");
                }
                _ => open_streams.push(stream),
            }
        }
    });
    address
}

/// Serves connections that are reset when a second request arrives on them.
async fn spawn_endpoint_with_resets(response: &'static str) -> SocketAddr {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(address).await.expect("port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("connection");
            tokio::spawn(async move {
                let read = stream.read(&mut [0; 4_096]).await.expect("request");
                assert!(read > 0, "connection closed before a request");
                let written = stream.write_all(response.as_bytes()).await;
                written.expect("written");
                // Closing a socket with unread data resets the connection.
                stream.peek(&mut [0]).await.expect("second request");
            });
        }
    });
    address
}

/// Returns an address that refuses connections.
async fn unused_address() -> SocketAddr {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(address).await.expect("port");
    listener.local_addr().expect("address")
}

fn error_kind(error: &kv::Error) -> Option<ErrorKind> {
    match error {
        kv::Error::Unknown(HttpError::Disconnected(_)) => Some(ErrorKind::Disconnected),
        kv::Error::Unknown(HttpError::TimedOut) => Some(ErrorKind::TimedOut),
        kv::Error::Unknown(HttpError::TooLarge { .. }) => Some(ErrorKind::TooLarge),
        kv::Error::Unknown(HttpError::Status { status, .. }) => Some(ErrorKind::Status(*status)),
        kv::Error::Unknown(HttpError::Malformed(_)) => Some(ErrorKind::Malformed),
        _ => None,
    }
}

#[gtest]
#[tokio::test]
async fn malformed_responses_leave_the_outcome_unknown() {
    let cases = [
        ("", ErrorKind::Disconnected),
        ("SSH-2.0-x\r\n\r\n", ErrorKind::Disconnected),
        ("HTTP/1.1 200", ErrorKind::Disconnected),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{",
            ErrorKind::Disconnected,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
            ErrorKind::Disconnected,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n",
            ErrorKind::TooLarge,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            ErrorKind::Malformed,
        ),
        ("HTTP/1.1 204 No Content\r\n\r\n", ErrorKind::Status(204)),
        (
            "HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
            ErrorKind::Status(302),
        ),
        (
            "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 2\r\n\r\nno",
            ErrorKind::Status(429),
        ),
    ];
    let cases = cases.map(|(response, expected)| (Reaction::Write(response), expected));
    let hang = [(Reaction::Hang, ErrorKind::TimedOut)];
    for (reaction, expected) in cases.into_iter().chain(hang) {
        let address = spawn_endpoint(reaction).await;
        let client = Etcd::new(vec![address], OPTIONS);
        let swap = client.swap("k", Expect::Any, None, None).await;
        let swap = swap.expect_err("failure");
        expect_true!(swap.may_have_taken_effect());
        expect_that!(
            error_kind(&swap),
            some(eq(expected)),
            "{reaction:?}: {swap}"
        );
        let get = client.get("k").await.expect_err("failure");
        expect_that!(error_kind(&get), some(eq(expected)), "{reaction:?}: {get}");
        let watch = client.watch("k", 0).await;
        expect_that!(watch, err(pat!(kv::Error::Unknown(_))), "{reaction:?}");
        let list = vm::Http::new(address).list().await;
        expect_that!(list, err(pat!(vm::Error::Read(_))), "{reaction:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_refused_write_has_no_effect() {
    let response = "HTTP/1.1 400 Bad Request\r\ncontent-length: 25\r\n\r\n\
        {\"code\":3,\"message\":\"no\"}";
    let client = Etcd::new(
        vec![spawn_endpoint(Reaction::Write(response)).await],
        OPTIONS,
    );
    let swap = client.swap("k", Expect::Any, None, None).await;
    let error = swap.expect_err("refusal");
    expect_that!(error, pat!(kv::Error::Refused(_)));
    expect_false!(error.may_have_taken_effect());
}

#[gtest]
#[tokio::test]
async fn connection_failures_are_reported_as_unsent() {
    let none = Etcd::new(Vec::new(), OPTIONS);
    let refused = Etcd::new(
        vec![unused_address().await, unused_address().await],
        OPTIONS,
    );
    for client in [none, refused] {
        let swap = client.swap("k", Expect::Absent, None, None).await;
        let unsent = pat!(kv::Error::Unsent(pat!(HttpError::Connect(_))));
        expect_that!(swap, err(unsent));
        let get = client.get("k").await;
        expect_that!(get, err(pat!(kv::Error::Unsent(_))));
        let watch = client.watch("k", 0).await;
        expect_that!(watch, err(pat!(kv::Error::Unsent(_))));
        let lease = client.lease_grant(1_000).await;
        expect_that!(lease, err(pat!(kv::Error::Unsent(_))));
    }
    let list = vm::Http::new(unused_address().await).list().await;
    expect_that!(
        list,
        err(pat!(vm::Error::Read(pat!(HttpError::Connect(_)))))
    );
}

#[gtest]
#[tokio::test]
async fn only_reads_are_retried_at_another_endpoint_after_sending() {
    let found = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 25\r\n\r\n\
        {\"header\":{\"revision\":7}}";
    let healthy = spawn_endpoint(Reaction::Write(found)).await;
    for reaction in [Reaction::Hang, Reaction::Write("")] {
        let endpoints = vec![
            unused_address().await,
            spawn_endpoint(reaction).await,
            healthy,
        ];
        let reader = Etcd::new(endpoints.clone(), OPTIONS);
        expect_that!(reader.get("k").await, ok(none()), "{reaction:?}");
        let writer = Etcd::new(endpoints, OPTIONS);
        let swap = writer.swap("k", Expect::Any, None, None).await;
        expect_that!(swap, err(pat!(kv::Error::Unknown(_))), "{reaction:?}");
        // After the failed write, the next call starts at another endpoint.
        expect_that!(writer.get("k").await, ok(none()), "{reaction:?}");
    }
}

/// Fails if a read is lost with a pooled connection that the service closes, or if a write, which
/// the service may have executed, is repeated.
#[gtest]
#[tokio::test]
async fn only_reads_are_repeated_on_a_new_connection_after_a_reset() {
    let found = "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n{\"header\":{\"revision\":7}}";
    let reader = Etcd::new(vec![spawn_endpoint_with_resets(found).await], OPTIONS);
    let writer = Etcd::new(vec![spawn_endpoint_with_resets(found).await], OPTIONS);
    for client in [&reader, &writer] {
        expect_that!(client.get("k").await, ok(none()));
    }
    expect_that!(reader.get("k").await, ok(none()));
    let swap = writer.swap("k", Expect::Any, None, None).await;
    let lost = pat!(kv::Error::Unknown(pat!(HttpError::Disconnected(_))));
    expect_that!(swap, err(lost));
}
