//! A node that is behind with its work hands callers' connections on to a larger one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, register};

/// Time for which the runtime that the gateways share with the test is held up, each time: they
/// are late by it, and not by so much that callers are sent elsewhere.
const HELD_UP: Duration = Duration::from_millis(120);

/// Processors of the small node and of the large one.
const SIZES: (f64, f64) = (0.1, 1.0);

struct Zone {
    service: Arc<Service>,
    small: Node,
    large: Node,
    backend: Backend,
}

impl Zone {
    /// A small and a large node before a server; the small one alone is asked.
    async fn new(way: Behavior) -> Self {
        let backend = Backend::spawn(way).await;
        let service = Service::new();
        service.set("config", Some("5 secret"));
        register(&service, 0, &backend, "ready");
        let small = Node::spawn_with_cpus(&service, "small", SIZES.0).await;
        let large = Node::spawn_with_cpus(&service, "large", SIZES.1).await;
        small.wait_ready().await;
        large.wait_ready().await;
        sleep(Duration::from_millis(500)).await;
        Self {
            service,
            small,
            large,
            backend,
        }
    }

    /// Requests that the server was sent by the large node.
    fn of_large(&self) -> usize {
        let heads = self.backend.state.heads();
        let by_large = heads.iter().filter(|head| head.contains("x-by: large"));
        by_large.count()
    }
}

/// Lets everything that shares the runtime be late for a while.
async fn hold_up() {
    for _ in 0..4 {
        std::thread::sleep(HELD_UP);
        sleep(Duration::from_millis(55)).await;
    }
}

#[gtest]
#[tokio::test]
async fn while_it_is_behind_a_larger_one_serves_whole_answers() {
    let zone = Zone::new(Behavior::Stream).await;
    expect_that!(
        zone.small.ask("/stream/", "x-tokens: 10\r\n").await.status,
        eq(200)
    );
    expect_that!(zone.of_large(), eq(0));
    hold_up().await;
    for _ in 0..3 {
        let reply = zone.small.ask("/stream/", "x-tokens: 10\r\n").await;
        expect_that!(reply.status, eq(200));
        expect_that!(reply.body.contains("id: 4"), eq(true));
    }
    expect_that!(zone.of_large(), eq(3));
    sleep(Duration::from_millis(3_600)).await;
    expect_that!(
        zone.small.ask("/stream/", "x-tokens: 10\r\n").await.status,
        eq(200)
    );
    expect_that!(zone.of_large(), eq(3), "it has caught up");
}

#[gtest]
#[tokio::test]
async fn without_a_larger_one_it_serves_them_itself() {
    let mut zone = Zone::new(Behavior::Answer).await;
    let gateway = zone.large.gateway.take().expect("it runs");
    gateway.stop().await;
    hold_up().await;
    let before = zone.backend.state.heads().len();
    let reply = zone.small.ask("/once/", "").await;
    expect_that!(reply.status, eq(200), "{}", reply.body);
    expect_that!(zone.backend.state.heads().len(), eq(before + 1));
}

#[gtest]
#[tokio::test]
async fn when_the_caller_leaves_so_does_the_request() {
    let zone = Zone::new(Behavior::Hang).await;
    hold_up().await;
    let request = caller::request("/stream/", "x-tokens: 10\r\n");
    let caller = caller::open(zone.small.callers, &request).await;
    sleep(Duration::from_millis(200)).await;
    expect_that!(zone.of_large(), eq(1));
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    expect_that!(zone.backend.state.disconnects(), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_node_that_stops_lets_what_it_handed_on_end() {
    let mut zone = Zone::new(Behavior::SlowStream).await;
    hold_up().await;
    let request = caller::request("/stream/", "x-tokens: 10\r\n");
    let mut caller = caller::open(zone.small.callers, &request).await;
    sleep(Duration::from_millis(100)).await;
    expect_that!(zone.of_large(), eq(1));
    let gateway = zone.small.gateway.take().expect("it runs");
    let stopping = tokio::spawn(gateway.stop());
    let mut text = String::new();
    let read = timeout(Duration::from_secs(4), caller.read_to_string(&mut text)).await;
    expect_that!(read.is_ok(), eq(true));
    expect_that!(text, contains_substring("id: 4"));
    stopping.await.expect("it stops");
    expect_that!(
        TcpStream::connect(zone.small.callers).await,
        err(anything())
    );
}

#[gtest]
#[tokio::test]
async fn a_larger_one_that_stops_is_handed_nothing_more() {
    let mut zone = Zone::new(Behavior::Answer).await;
    hold_up().await;
    expect_that!(zone.small.ask("/once/", "").await.status, eq(200));
    expect_that!(zone.of_large(), eq(1));
    let gateway = zone.large.gateway.take().expect("it runs");
    let stopping = tokio::spawn(gateway.stop());
    sleep(Duration::from_millis(100)).await;
    for _ in 0..3 {
        expect_that!(zone.small.ask("/once/", "").await.status, eq(200));
    }
    expect_that!(zone.of_large(), eq(1));
    stopping.await.expect("it stops");
}

/// Sends a request on a connection that is to be kept and reads the head and body of a short answer.
async fn ask_again(caller: &mut TcpStream) -> String {
    let request = caller::request("/once/", "").replace("Connection: close\r\n", "");
    caller
        .write_all(request.as_bytes())
        .await
        .expect("it reads");
    let mut text = String::new();
    let mut bytes = [0; 1_024];
    while !text.ends_with("done") {
        let read = caller.read(&mut bytes).await.expect("an answer");
        assert!(read > 0, "the connection is kept, after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

#[gtest]
#[tokio::test]
async fn a_connection_that_was_handed_on_carries_one_request() {
    let zone = Zone::new(Behavior::Answer).await;
    hold_up().await;
    let mut caller = TcpStream::connect(zone.small.callers)
        .await
        .expect("it listens");
    let first = ask_again(&mut caller).await;
    expect_that!(zone.of_large(), eq(1));
    expect_that!(first, contains_substring("connection: close"));
    // One that rests is closed as well: its next request would come to a node that has stopped.
    let closed = timeout(Duration::from_millis(200), caller.read(&mut [0; 16])).await;
    expect_that!(matches!(closed, Ok(Ok(0) | Err(_))), eq(true));
}

const KEY: &str = "Authorization: Bearer secret\r\n";

/// Time within which a change is in force where the key-value service answers; where it hangs a
/// call to it is given up later.
const SOON: Duration = Duration::from_millis(400);

#[gtest]
#[tokio::test]
async fn a_caller_does_not_see_a_change_undone_by_a_larger_one_that_is_behind() {
    let zone = Zone::new(Behavior::Answer).await;
    hold_up().await;
    zone.large.kv.set_hanging(true);
    zone.service.set("config", Some("7 other"));
    sleep(SOON).await;
    for _ in 0..3 {
        expect_that!(zone.small.ask("/keyed/", KEY).await.status, eq(401));
    }
    expect_that!(zone.of_large(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_caller_does_not_see_a_change_undone_where_another_was_ahead() {
    let zone = Zone::new(Behavior::Answer).await;
    let mut kept = TcpStream::connect(zone.small.callers)
        .await
        .expect("it listens");
    ask_again(&mut kept).await;
    hold_up().await;
    zone.small.kv.set_hanging(true);
    zone.service.set("config", Some("7 other"));
    sleep(SOON).await;
    let status = zone.small.ask("/keyed/", KEY).await.status;
    expect_that!(status, eq(401), "the large one knows");
    let request = caller::request("/keyed/", KEY);
    kept.write_all(request.as_bytes()).await.expect("it reads");
    let mut text = String::new();
    let read = timeout(Duration::from_secs(1), kept.read_to_string(&mut text)).await;
    expect_that!(read.is_ok(), eq(true));
    expect_that!(
        text,
        starts_with("HTTP/1.1 503"),
        "this one knows the key still"
    );
}

/// A process that is no gateway and answers whatever comes as an HTTP server does.
async fn stranger() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
            // One that asks no further has what it wanted to know.
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// The address of a gateway that is gone may belong to another process. The first bytes of its
/// answer were taken for a version of the configuration, the rest passed on to the caller as an
/// answer (400), and as no configuration is ever that new, the node refused everything (503) from
/// there on.
#[gtest]
#[tokio::test]
async fn a_process_that_is_no_gateway_is_handed_nothing_and_teaches_nothing() {
    let mut zone = Zone::new(Behavior::Answer).await;
    let gateway = zone.large.gateway.take().expect("it runs");
    gateway.stop().await;
    let stranger = stranger().await;
    let address = Some(stranger.to_string());
    zone.service
        .set("mulberryyoke/handoffs/large", address.as_deref());
    sleep(SOON).await;
    hold_up().await;
    for _ in 0..3 {
        let reply = zone.small.ask("/once/", "").await;
        expect_that!(reply.status, eq(200), "{}", reply.body);
    }
    expect_that!(zone.backend.state.heads().len(), eq(3));
}
