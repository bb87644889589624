//! Handoff of callers' connections from an overloaded node to a larger one.

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

/// Time for which the runtime that the gateways share with the test is blocked, each time. Long
/// enough for handoffs, too short for a readiness failure.
const BLOCKED: Duration = Duration::from_millis(120);

/// Processors of the small and the large node.
const CPUS: (f64, f64) = (0.1, 1.0);

struct Zone {
    service: Arc<Service>,
    small: Node,
    large: Node,
    backend: Backend,
}

impl Zone {
    /// Spawns a small and a large node and a server. Callers connect to the small node.
    async fn new(behavior: Behavior) -> Self {
        let backend = Backend::spawn(behavior).await;
        let service = Service::new();
        service.set("config", Some("5 secret"));
        register(&service, 0, &backend, "ready");
        let small = Node::spawn_with_cpus(&service, "small", CPUS.0).await;
        let large = Node::spawn_with_cpus(&service, "large", CPUS.1).await;
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

    /// Returns the number of requests that the large node sent to the server.
    fn large_node_requests(&self) -> usize {
        let heads = self.backend.state.heads();
        let requests = heads.iter().filter(|head| head.contains("x-by: large"));
        requests.count()
    }
}

/// Delays every task of the runtime, so that the small node starts to hand off connections.
async fn delay_runtime() {
    for _ in 0..4 {
        std::thread::sleep(BLOCKED);
        sleep(Duration::from_millis(55)).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_larger_node_serves_complete_responses_until_the_node_has_recovered() {
    let zone = Zone::new(Behavior::Stream).await;
    expect_that!(
        zone.small.send("/stream/", "x-tokens: 10\r\n").await.status,
        eq(200)
    );
    expect_that!(zone.large_node_requests(), eq(0));
    delay_runtime().await;
    for _ in 0..3 {
        let response = zone.small.send("/stream/", "x-tokens: 10\r\n").await;
        expect_that!(response.status, eq(200));
        expect_that!(response.body.contains("id: 4"), eq(true));
    }
    expect_that!(zone.large_node_requests(), eq(3));
    sleep(Duration::from_millis(3_600)).await;
    expect_that!(
        zone.small.send("/stream/", "x-tokens: 10\r\n").await.status,
        eq(200)
    );
    expect_that!(zone.large_node_requests(), eq(3), "it has recovered");
}

#[gtest]
#[tokio::test]
async fn without_a_larger_node_connections_are_served_locally() {
    let mut zone = Zone::new(Behavior::Answer).await;
    let gateway = zone.large.gateway.take().expect("gateway is running");
    gateway.stop().await;
    delay_runtime().await;
    let before = zone.backend.state.heads().len();
    let response = zone.small.send("/once/", "").await;
    expect_that!(response.status, eq(200), "{}", response.body);
    expect_that!(zone.backend.state.heads().len(), eq(before + 1));
}

#[gtest]
#[tokio::test]
async fn a_request_is_cancelled_when_the_caller_disconnects() {
    let zone = Zone::new(Behavior::Hang).await;
    delay_runtime().await;
    let request = caller::request("/stream/", "x-tokens: 10\r\n");
    let caller = caller::open(zone.small.callers, &request).await;
    sleep(Duration::from_millis(200)).await;
    expect_that!(zone.large_node_requests(), eq(1));
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    expect_that!(zone.backend.state.disconnects(), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_node_that_shuts_down_lets_handed_off_responses_complete() {
    let mut zone = Zone::new(Behavior::SlowStream).await;
    delay_runtime().await;
    let request = caller::request("/stream/", "x-tokens: 10\r\n");
    let mut caller = caller::open(zone.small.callers, &request).await;
    sleep(Duration::from_millis(100)).await;
    expect_that!(zone.large_node_requests(), eq(1));
    let gateway = zone.small.gateway.take().expect("gateway is running");
    let shutdown = tokio::spawn(gateway.stop());
    let mut text = String::new();
    let read = timeout(Duration::from_secs(4), caller.read_to_string(&mut text)).await;
    expect_that!(read.is_ok(), eq(true));
    expect_that!(text, contains_substring("id: 4"));
    shutdown.await.expect("shutdown does not panic");
    expect_that!(
        TcpStream::connect(zone.small.callers).await,
        err(anything())
    );
}

#[gtest]
#[tokio::test]
async fn no_connections_are_handed_off_to_a_node_that_shuts_down() {
    let mut zone = Zone::new(Behavior::Answer).await;
    delay_runtime().await;
    expect_that!(zone.small.send("/once/", "").await.status, eq(200));
    expect_that!(zone.large_node_requests(), eq(1));
    let gateway = zone.large.gateway.take().expect("gateway is running");
    let shutdown = tokio::spawn(gateway.stop());
    sleep(Duration::from_millis(100)).await;
    for _ in 0..3 {
        expect_that!(zone.small.send("/once/", "").await.status, eq(200));
    }
    expect_that!(zone.large_node_requests(), eq(1));
    shutdown.await.expect("shutdown does not panic");
}

/// Sends a request on a keep-alive connection and reads the short response.
async fn send_keep_alive(caller: &mut TcpStream) -> String {
    let request = caller::request("/once/", "").replace("Connection: close\r\n", "");
    caller
        .write_all(request.as_bytes())
        .await
        .expect("caller connection is writable");
    let mut text = String::new();
    let mut bytes = [0; 1_024];
    while !text.ends_with("done") {
        let read = caller.read(&mut bytes).await.expect("response is readable");
        assert!(read > 0, "connection closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

#[gtest]
#[tokio::test]
async fn a_handed_off_connection_carries_one_request() {
    let zone = Zone::new(Behavior::Answer).await;
    delay_runtime().await;
    let mut caller = TcpStream::connect(zone.small.callers)
        .await
        .expect("node accepts connections");
    let first = send_keep_alive(&mut caller).await;
    expect_that!(zone.large_node_requests(), eq(1));
    expect_that!(first, contains_substring("connection: close"));
    // Otherwise the next request could reach a node that has shut down.
    let closed = timeout(Duration::from_millis(200), caller.read(&mut [0; 16])).await;
    expect_that!(matches!(closed, Ok(Ok(0) | Err(_))), eq(true));
}

const KEY: &str = "Authorization: Bearer secret\r\n";

/// Time for a change to take effect on nodes that reach the key-value service; shorter than the
/// timeout of a call to a hanging one.
const PROPAGATION: Duration = Duration::from_millis(400);

#[gtest]
#[tokio::test]
async fn a_larger_node_with_an_older_configuration_is_not_used() {
    let zone = Zone::new(Behavior::Answer).await;
    delay_runtime().await;
    zone.large.kv.set_hanging(true);
    zone.service.set("config", Some("7 other"));
    sleep(PROPAGATION).await;
    for _ in 0..3 {
        expect_that!(zone.small.send("/keyed/", KEY).await.status, eq(401));
    }
    expect_that!(zone.large_node_requests(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_node_refuses_requests_after_a_handoff_to_a_newer_configuration() {
    let zone = Zone::new(Behavior::Answer).await;
    let mut keep_alive = TcpStream::connect(zone.small.callers)
        .await
        .expect("node accepts connections");
    send_keep_alive(&mut keep_alive).await;
    delay_runtime().await;
    zone.small.kv.set_hanging(true);
    zone.service.set("config", Some("7 other"));
    sleep(PROPAGATION).await;
    let status = zone.small.send("/keyed/", KEY).await.status;
    expect_that!(status, eq(401), "the large node has the new configuration");
    let request = caller::request("/keyed/", KEY);
    keep_alive
        .write_all(request.as_bytes())
        .await
        .expect("caller connection is writable");
    let mut text = String::new();
    let read = timeout(Duration::from_secs(1), keep_alive.read_to_string(&mut text)).await;
    expect_that!(read.is_ok(), eq(true));
    expect_that!(
        text,
        starts_with("HTTP/1.1 503"),
        "its own configuration still allows the key"
    );
}

/// Spawns an HTTP server that rejects everything and does not speak the handoff protocol.
async fn spawn_http_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
            // The gateway may have closed the connection.
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

/// The address of a terminated gateway may be reused by another service. Guards against parsing its
/// response as a configuration version, after which the node would refuse every request.
#[gtest]
#[tokio::test]
async fn connections_are_not_handed_off_to_a_service_that_is_not_a_gateway() {
    let mut zone = Zone::new(Behavior::Answer).await;
    let gateway = zone.large.gateway.take().expect("gateway is running");
    gateway.stop().await;
    let server = spawn_http_server().await;
    let address = Some(server.to_string());
    zone.service
        .set("mulberryyoke/handoffs/large", address.as_deref());
    sleep(PROPAGATION).await;
    delay_runtime().await;
    for _ in 0..3 {
        let response = zone.small.send("/once/", "").await;
        expect_that!(response.status, eq(200), "{}", response.body);
    }
    expect_that!(zone.backend.state.heads().len(), eq(3));
}

/// Time without contact to the key-value service after which the servers known to a node are out of
/// date.
const OUTDATED: Duration = Duration::from_millis(2_800);

/// Spawns three large nodes, which watch the key-value service, and a small one that follows them.
async fn spawn_watchers_and_follower(service: &Arc<Service>) -> Vec<Node> {
    let mut nodes = Vec::new();
    for index in 0..4 {
        let cpus = if index < 3 { CPUS.1 } else { CPUS.0 };
        nodes.push(Node::spawn_with_cpus(service, &format!("g{index}"), cpus).await);
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    sleep(Duration::from_millis(500)).await;
    nodes
}

/// Spawns these nodes and a server, cuts the large ones off from the service, and also the small one
/// if `with_small`, until the servers known to them are out of date. Removes the server's
/// registration and delays the runtime.
async fn cut_off(with_small: bool) -> (Vec<Node>, Backend) {
    let backend = Backend::spawn(Behavior::Answer).await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    register(&service, 0, &backend, "ready");
    let nodes = spawn_watchers_and_follower(&service).await;
    for node in &nodes[..3] {
        node.kv.set_failing(true);
    }
    nodes[3].kv.set_failing(with_small);
    sleep(OUTDATED).await;
    for pool in ["plain", "model"] {
        service.set(&format!("servers/{pool}-0"), None);
    }
    sleep(PROPAGATION).await;
    delay_runtime().await;
    (nodes, backend)
}

/// Guards against sending requests to a server that has left, through larger nodes that have not
/// heard of it.
#[gtest]
#[tokio::test]
async fn larger_nodes_that_are_cut_off_from_the_service_are_not_used() {
    let (nodes, backend) = cut_off(false).await;
    for _ in 0..3 {
        expect_that!(nodes[3].send("/once/", "").await.status, eq(503));
    }
    expect_that!(backend.state.heads().len(), eq(0));
}

/// Fails if an outage of the service ends all handoffs.
#[gtest]
#[tokio::test]
async fn larger_nodes_are_used_while_all_are_cut_off_from_the_service() {
    let (nodes, backend) = cut_off(true).await;
    let is_by_large = |head: &String| !head.contains("x-by: g3");
    // A large node that is overloaded for a moment refuses single connections.
    for _ in 0..20 {
        expect_that!(nodes[3].send("/once/", "").await.status, eq(200));
        if backend.state.heads().iter().any(is_by_large) {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("no connection was handed off");
}
