//! What gateways tell each other of their load.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, register};
use crate::protocol::LONG_PROMPT;

/// Time until a gateway knows what another has at a server; the long prompt lasts longer.
const KNOWN: Duration = Duration::from_millis(500);

/// Time until collectors that never answer are passed over.
const PASSED_OVER: Duration = Duration::from_secs(3);

/// Gateways of one zone before one model server that never answers.
async fn zone(service: &Arc<Service>, nodes: usize) -> (Vec<Node>, Backend) {
    let backend = Backend::spawn(Behavior::Hang).await;
    service.set("config", Some("5 secret"));
    register(service, 0, &backend, "ready");
    let mut zone = Vec::new();
    for index in 0..nodes {
        // The first are the largest of the zone, so that they collect.
        let processors = if index < 2 { 2.0 } else { 0.5 };
        zone.push(Node::spawn_with_cpus(service, &format!("g{index}"), processors).await);
    }
    for node in &zone {
        node.wait_ready().await;
    }
    sleep(Duration::from_millis(500)).await;
    (zone, backend)
}

/// Has the server be given a long prompt by a node; it ends when the connection does.
async fn occupy(node: &Node) -> TcpStream {
    let fields = format!("x-tokens: {LONG_PROMPT}\r\n");
    caller::open(node.callers, &caller::request("/stream/", &fields)).await
}

/// Whether a node refuses another prompt, as it knows of the long one. It is asked once: what
/// it had sent itself would have it refuse as well.
async fn refuses(node: &Node) -> bool {
    let request = caller::request("/stream/", "x-tokens: 2000\r\n");
    let asked = caller::send(node.callers, &request);
    let asked = timeout(Duration::from_millis(80), asked).await;
    asked.is_ok_and(|reply| reply.status == 503)
}

#[gtest]
#[tokio::test]
async fn all_know_within_a_moment_what_one_has_at_a_server() {
    let service = Service::new();
    let (zone, _backend) = zone(&service, 8).await;
    let _long = occupy(&zone[7]).await;
    sleep(KNOWN).await;
    for node in &zone[..7] {
        expect_that!(refuses(node).await, eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn others_collect_where_those_that_should_are_silent() {
    let service = Service::new();
    let mut silent = Vec::new();
    for index in 0..2 {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let address = socket.local_addr().expect("an address");
        let value = format!("{address} 9000 a");
        service.set(&format!("mulberryyoke/gateways/s{index}"), Some(&value));
        silent.push(socket);
    }
    let (zone, _backend) = zone(&service, 6).await;
    sleep(PASSED_OVER).await;
    let _long = occupy(&zone[5]).await;
    sleep(KNOWN).await;
    for node in &zone[..5] {
        expect_that!(refuses(node).await, eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn a_gateway_that_hears_of_nobody_takes_its_peers_to_do_as_it_does() {
    for (peers, status) in [(0, None), (9, Some(503))] {
        let service = Service::new();
        for index in 0..peers {
            // Nothing listens at the discard port.
            let key = format!("mulberryyoke/gateways/s{index}");
            service.set(&key, Some("127.0.0.1:9 100 b"));
        }
        let servers = [
            Backend::spawn(Behavior::Hang).await,
            Backend::spawn(Behavior::Hang).await,
        ];
        service.set("config", Some("5 secret"));
        for (index, server) in servers.iter().enumerate() {
            register(&service, index, server, "ready");
        }
        let node = Node::spawn(&service, "g0").await;
        node.wait_ready().await;
        let request = caller::request("/stream/", "x-tokens: 2000\r\n");
        let _first = caller::open(node.callers, &request).await;
        sleep(Duration::from_millis(200)).await;
        let second = caller::send(node.callers, &request);
        let second = tokio::time::timeout(Duration::from_millis(300), second).await;
        let told = second.ok().map(|reply| reply.status);
        expect_that!(told, eq(status), "{peers} peers");
    }
}
