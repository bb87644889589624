//! The clients against answers that are broken below the level of HTTP, and against
//! endpoints that do not answer.

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

/// What an endpoint does once it has read something.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    /// Writes this and closes the connection.
    Write(&'static str),
    /// Nothing, and keeps the connection.
    Silence,
}

/// What an error is expected to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Cut,
    Late,
    Status(u16),
    Unreadable,
}

async fn endpoint(reaction: Reaction) -> SocketAddr {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(address).await.expect("port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let mut kept = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.expect("connection");
            let read = stream.read(&mut [0; 4_096]).await.expect("request");
            match reaction {
                Reaction::Write(answer) if read > 0 => {
                    stream.write_all(answer.as_bytes()).await.expect("written");
                }
                _ => kept.push(stream),
            }
        }
    });
    address
}

/// An address at which nothing listens.
async fn nowhere() -> SocketAddr {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(address).await.expect("port");
    listener.local_addr().expect("address")
}

fn told(error: &kv::Error) -> Option<Told> {
    match error {
        kv::Error::Unknown(HttpError::Disconnected(_)) => Some(Told::Cut),
        kv::Error::Unknown(HttpError::TimedOut) => Some(Told::Late),
        kv::Error::Unknown(HttpError::Status { status, .. }) => Some(Told::Status(*status)),
        kv::Error::Unknown(HttpError::Malformed(_)) => Some(Told::Unreadable),
        _ => None,
    }
}

#[gtest]
#[tokio::test]
async fn broken_answers_leave_the_effect_unknown() {
    let cases = [
        ("", Told::Cut),
        ("SSH-2.0-x\r\n\r\n", Told::Cut),
        ("HTTP/1.1 200", Told::Cut),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{", Told::Cut),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
            Told::Cut,
        ),
        ("HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n", Told::Cut),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            Told::Unreadable,
        ),
        ("HTTP/1.1 204 No Content\r\n\r\n", Told::Status(204)),
        (
            "HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
            Told::Status(302),
        ),
        (
            "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 2\r\n\r\nno",
            Told::Status(429),
        ),
    ];
    let cases = cases.map(|(answer, expected)| (Reaction::Write(answer), expected));
    let silence = [(Reaction::Silence, Told::Late)];
    for (reaction, expected) in cases.into_iter().chain(silence) {
        let address = endpoint(reaction).await;
        let client = Etcd::new(vec![address], OPTIONS);
        let swap = client.swap("k", Expect::Any, None, None).await;
        let swap = swap.expect_err("failure");
        expect_true!(swap.may_have_taken_effect());
        expect_that!(told(&swap), some(eq(expected)), "{reaction:?}: {swap}");
        let get = client.get("k").await.expect_err("failure");
        expect_that!(told(&get), some(eq(expected)), "{reaction:?}: {get}");
        let watch = client.watch("k", 0).await;
        expect_that!(watch, err(pat!(kv::Error::Unknown(_))), "{reaction:?}");
        let list = vm::Http::new(address).list().await;
        expect_that!(list, err(pat!(vm::Error::Read(_))), "{reaction:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_refusal_by_the_service_had_no_effect() {
    let answer = "HTTP/1.1 400 Bad Request\r\ncontent-length: 25\r\n\r\n\
        {\"code\":3,\"message\":\"no\"}";
    let client = Etcd::new(vec![endpoint(Reaction::Write(answer)).await], OPTIONS);
    let swap = client.swap("k", Expect::Any, None, None).await;
    let error = swap.expect_err("refusal");
    expect_that!(error, pat!(kv::Error::Refused(_)));
    expect_false!(error.may_have_taken_effect());
}

#[gtest]
#[tokio::test]
async fn what_was_not_sent_is_told() {
    let none = Etcd::new(Vec::new(), OPTIONS);
    let refused = Etcd::new(vec![nowhere().await, nowhere().await], OPTIONS);
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
    let list = vm::Http::new(nowhere().await).list().await;
    expect_that!(
        list,
        err(pat!(vm::Error::Read(pat!(HttpError::Connect(_)))))
    );
}

#[gtest]
#[tokio::test]
async fn only_reads_go_on_to_another_endpoint_after_sending() {
    let found = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 25\r\n\r\n\
        {\"header\":{\"revision\":7}}";
    let answers = endpoint(Reaction::Write(found)).await;
    for reaction in [Reaction::Silence, Reaction::Write("")] {
        let endpoints = vec![nowhere().await, endpoint(reaction).await, answers];
        let reader = Etcd::new(endpoints.clone(), OPTIONS);
        expect_that!(reader.get("k").await, ok(none()), "{reaction:?}");
        let writer = Etcd::new(endpoints, OPTIONS);
        let swap = writer.swap("k", Expect::Any, None, None).await;
        expect_that!(swap, err(pat!(kv::Error::Unknown(_))), "{reaction:?}");
        // A write that failed has the next call begin at another endpoint.
        expect_that!(writer.get("k").await, ok(none()), "{reaction:?}");
    }
}
