//! Answers of the backend that are cut inside their head.

use std::net::{Ipv4Addr, SocketAddr};

use futures::{StreamExt, stream};
use googletest::prelude::*;
use mulberryyoke_model::{Kind, Outcome};
use mulberryyoke_wire::Verdict;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::node::{Node, body_text, context, settings, ticket, verdict};

/// Number of requests that run at the same time.
const CONCURRENCY: usize = 8;

/// Slots of the backend. A request whose outcome is unknown may keep its slot.
const SLOTS: u32 = 1_000;

const HEADS: [&str; 7] = [
    "HTTP/1.1 200 OK\r\ncontent-type: a\r\ncontent-length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
    "HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\na: b\r\n\r\n",
    "HTTP/1.1 503 Any\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n",
];

/// Answer before the one that is cut, on connections that are used again.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// A backend that cuts its answers, the first of each connection or those after it.
async fn spawn_backend(is_reused: bool, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    let cuts = HEADS.map(|head| (0..head.len()).map(move |sent| &head[..sent]));
    let mut cuts = cuts.into_iter().flatten().cycle();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let cut = cuts.next().expect("a cycle");
            tokio::spawn(serve(stream, cut, is_reused, is_reset));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, cut: &'static str, is_reused: bool, is_reset: bool) {
    let answers: &[&str] = if is_reused { &[WHOLE, cut] } else { &[cut] };
    for answer in answers {
        read_request(&mut stream).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    }
    if is_reset {
        let _ = stream.set_zero_linger();
    }
}

async fn read_request(stream: &mut TcpStream) {
    let mut text = Vec::new();
    // Each request has the same short body.
    while !text.ends_with(b"{}") {
        match stream.read_u8().await {
            Ok(byte) => text.push(byte),
            Err(_) => return,
        }
    }
}

/// Sends a request. Returns whether it was answered, and how its answer is wrong.
async fn check(node: &Node, request: u64) -> (bool, Option<String>) {
    let response = node.send(&ticket(request)).await;
    let status = response.status().as_u16();
    let verdict = verdict(&response).map(str::to_owned);
    let body = body_text(response).await;
    if status == 200 && body.as_deref() == Some("done") {
        return (true, None);
    }
    let is_interrupted = status == 503 && verdict.as_deref() == Some(Verdict::Interrupted.as_str());
    let link = &node.link;
    let outcome = link.outcome(context(), ticket(request).attempt, None).await;
    let is_told = outcome.is_ok_and(|outcome| outcome == Outcome::Cut);
    let fault = format!("{status} {verdict:?} {body:?}");
    (false, (!is_interrupted || !is_told).then_some(fault))
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_is_cut_at_any_byte_is_interrupted() {
    let cuts: usize = HEADS.iter().map(|head| head.len()).sum();
    for (kind, is_reused, is_reset) in [
        (Kind::Model, false, false),
        (Kind::Model, true, false),
        (Kind::Service, false, true),
    ] {
        let backend = spawn_backend(is_reused, is_reset).await;
        let node = Node::spawn(settings(backend, kind, SLOTS)).await;
        let requests = if is_reused { 2 * cuts } else { cuts };
        let checks = (0..requests as u64).map(|request| check(&node, request));
        let checks = stream::iter(checks).buffer_unordered(CONCURRENCY);
        let results: Vec<(bool, Option<String>)> = checks.collect().await;
        let answered = results.iter().filter(|result| result.0).count();
        let faults: Vec<String> = results.into_iter().filter_map(|result| result.1).collect();
        let name = format!("{kind:?} {is_reused} {is_reset}");
        expect_that!(faults, is_empty(), "{name}");
        let expected = if is_reused { cuts / 2 } else { 0 };
        expect_that!(answered, ge(expected), "{name}");
        expect_that!(requests - answered, ge(cuts / 2), "{name}");
        node.sidecar.stop().await;
    }
}
