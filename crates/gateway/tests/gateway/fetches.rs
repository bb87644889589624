//! Transfers of cached prompt parts between model servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::backend::{Backend, Behavior, field};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, ready, register};

/// Time for a list of cached parts to be fetched, or a change to be applied.
const APPLIED: Duration = Duration::from_millis(300);

/// Configuration with transfers, of 4 ms for a shared part.
const CONFIG: &str = "6 link=1000000 secret";

/// Time in which a connection is established; shorter than the gateway's connect timeout.
const CONNECTED: Duration = Duration::from_millis(100);

const PROMPT: &str = "x-tokens: 100\r\nx-shared: 7\r\n";

/// Prompt that occupies the server with the shared part for a second. The gateway counts its prefill
/// down, and two late first events take 300 ms.
const LONG_PROMPT: &str = "x-tokens: 60000\r\nx-shared: 7\r\n";

/// A server that has parts 7 to 9 cached and never responds, and another that is idle.
struct Fleet {
    service: Arc<Service>,
    node: Node,
    home: Backend,
    idle: Backend,
    _occupant: TcpStream,
}

impl Fleet {
    async fn spawn(config: &str) -> Self {
        let home = Backend::spawn(Behavior::Hang).await;
        home.state.set_cached_parts("7 8 9");
        let idle = Backend::spawn(Behavior::Stream).await;
        let service = Service::new();
        service.set("config", Some(config));
        register(&service, 0, &home, "ready");
        register(&service, 1, &idle, "ready");
        let node = Node::spawn(&service, "g0").await;
        node.wait_ready().await;
        sleep(APPLIED).await;
        let occupant = caller::open(node.callers, &caller::request("/stream/", LONG_PROMPT)).await;
        sleep(Duration::from_millis(50)).await;
        assert_eq!(home.state.heads().len(), 1, "the home is occupied");
        Self {
            service,
            node,
            home,
            idle,
            _occupant: occupant,
        }
    }
}

/// The source named in the only request that a server received.
fn source(backend: &Backend) -> Option<String> {
    let heads = backend.state.heads();
    assert_eq!(heads.len(), 1, "one request");
    field(&heads[0], "x-fetch").map(str::to_owned)
}

#[gtest]
#[tokio::test]
async fn a_prompt_fetches_its_cached_part_from_a_busy_home() {
    let fleet = Fleet::spawn(CONFIG).await;
    let response = fleet.node.send("/stream/", PROMPT).await;
    expect_that!(response.status, eq(200));
    let home = fleet.home.address.to_string();
    expect_that!(source(&fleet.idle), some(eq(&home)));
    // The copy is cached from now on.
    fleet.node.send("/stream/", PROMPT).await;
    let heads = fleet.idle.state.heads();
    expect_that!(field(&heads[1], "x-fetch"), none());
}

#[gtest]
#[tokio::test]
async fn a_source_is_not_named_after_two_late_first_events() {
    // It may have evicted the parts, or be unreachable for the other server.
    let fleet = Fleet::spawn(CONFIG).await;
    fleet.idle.state.set_behavior(Behavior::LateStream, "");
    for part in 7..=9 {
        let header_lines = format!("x-tokens: 100\r\nx-shared: {part}\r\n");
        let response = fleet.node.send("/stream/", &header_lines).await;
        expect_that!(response.status, eq(200));
    }
    let heads = fleet.idle.state.heads();
    let is_fetched = heads.iter().map(|head| field(head, "x-fetch").is_some());
    let is_fetched: Vec<bool> = is_fetched.collect();
    expect_that!(is_fetched, eq(&[true, true, false]));
}

#[gtest]
#[tokio::test]
async fn without_a_configured_link_nothing_is_fetched() {
    let fleet = Fleet::spawn("6 secret").await;
    let response = fleet.node.send("/stream/", PROMPT).await;
    expect_that!(response.status, eq(200));
    expect_that!(source(&fleet.idle), none());
}

#[gtest]
#[tokio::test]
async fn a_source_named_by_the_caller_is_removed() {
    let server = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready(&[&server]).await;
    let header_lines = format!("x-fetch: 127.0.0.1:9\r\n{PROMPT}");
    expect_that!(node.send("/stream/", &header_lines).await.status, eq(200));
    expect_that!(source(&server), none());
}

/// Fills the queue of a listener, so that further connections to it time out.
async fn fill(listener: &TcpListener) -> Vec<TcpStream> {
    let address = listener.local_addr().expect("an address");
    let mut streams = Vec::new();
    while let Ok(stream) = timeout(CONNECTED, TcpStream::connect(address)).await {
        streams.push(stream.expect("a connection"));
    }
    streams
}

#[gtest]
#[tokio::test]
async fn a_source_that_leaves_while_its_target_is_connected_to_is_not_named() {
    // The next server would wait for a transfer that never comes.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    let target = socket.listen(1).expect("a listener");
    let _streams = fill(&target).await;
    let fleet = Fleet::spawn(CONFIG).await;
    let address = target.local_addr().expect("an address");
    let (home, idle) = (fleet.home.address, fleet.idle.address);
    let set = |index: u32, state: &str, address: SocketAddr| {
        let key = format!("servers/model-{index}");
        let value = format!("model {address} {state}");
        fleet.service.set(&key, Some(&value));
    };
    set(1, "leaving", idle);
    set(2, "ready", address);
    sleep(APPLIED).await;
    let leave = async {
        sleep(CONNECTED).await;
        set(0, "leaving", home);
        set(3, "ready", idle);
    };
    let (response, ()) = tokio::join!(fleet.node.send("/stream/", PROMPT), leave);
    expect_that!(response.status, eq(200));
    expect_that!(source(&fleet.idle), none());
}
