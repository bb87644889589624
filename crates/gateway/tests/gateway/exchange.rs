//! Load exchange between gateways.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::net::{TcpSocket, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, register};

/// Length of the long prompt: 1.5 s of prefill, within the memory of a server.
const LONG_PROMPT: u32 = 90_000;

/// Time for load to reach all gateways; shorter than the prefill of the long prompt.
const PROPAGATION: Duration = Duration::from_millis(500);

/// Time until the failover from silent collectors is complete.
const FAILOVER: Duration = Duration::from_secs(3);

/// Time in which no gateway runs, longer than that after which others are asked to collect, and the
/// time between two pauses.
const PAUSE: Duration = Duration::from_millis(900);
const BETWEEN_PAUSES: Duration = Duration::from_millis(300);

/// Spawns gateways of one zone and a model server that never responds.
async fn spawn_zone(service: &Arc<Service>, nodes: usize) -> (Vec<Node>, Backend) {
    let backend = Backend::spawn(Behavior::Hang).await;
    service.set("config", Some("5 secret"));
    register(service, 0, &backend, "ready");
    let mut zone = Vec::new();
    for index in 0..nodes {
        // The two largest are the zone's collectors.
        let processors = if index < 2 { 2.0 } else { 0.5 };
        zone.push(Node::spawn_with_cpus(service, &format!("g{index}"), processors).await);
    }
    for node in &zone {
        node.wait_ready().await;
    }
    sleep(Duration::from_millis(500)).await;
    (zone, backend)
}

/// Sends a long prompt through a node. It counts until it should have been prefilled.
async fn open_long_prompt(node: &Node) -> TcpStream {
    let header_lines = format!("x-tokens: {LONG_PROMPT}\r\n");
    caller::open(node.callers, &caller::request("/stream/", &header_lines)).await
}

/// Returns whether a node refuses a prompt because of the long one. Call it once per node: a prompt
/// that the node has sent itself leads to a refusal as well.
async fn refuses_prompt(node: &Node) -> bool {
    let request = caller::request("/stream/", "x-tokens: 2000\r\n");
    let response = caller::send(node.callers, &request);
    let response = timeout(Duration::from_millis(80), response).await;
    response.is_ok_and(|response| response.status == 503)
}

/// All gateways know of a long prompt that the last one sends.
async fn expect_load_propagates(zone: &[Node]) {
    let (last, others) = zone.split_last().expect("several gateways");
    let _long = open_long_prompt(last).await;
    sleep(PROPAGATION).await;
    for node in others {
        expect_that!(refuses_prompt(node).await, eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn load_of_one_gateway_propagates_to_all_others() {
    let service = Service::new();
    let (zone, _backend) = spawn_zone(&service, 8).await;
    expect_load_propagates(&zone).await;
}

/// A collector that never answers and refuses connections. No other process can take its ports.
type SilentCollector = (TcpSocket, UdpSocket);

async fn bind_silent_collector() -> SilentCollector {
    loop {
        let tcp = TcpSocket::new_v4().expect("a socket");
        tcp.bind(([127, 0, 0, 1], 0).into()).expect("a port");
        let address = tcp.local_addr().expect("an address");
        if let Ok(udp) = UdpSocket::bind(address).await {
            return (tcp, udp);
        }
    }
}

/// Registers two collectors that never answer, and starts the other gateways of their zone.
async fn spawn_zone_with_silent_collectors(
    service: &Arc<Service>,
) -> (Vec<SilentCollector>, Vec<Node>, Backend) {
    let mut silent = Vec::new();
    for index in 0..2 {
        let collector = bind_silent_collector().await;
        let address = collector.1.local_addr().expect("an address");
        let value = format!("{address} 9000 a");
        service.set(&format!("mulberryyoke/gateways/s{index}"), Some(&value));
        silent.push(collector);
    }
    let (zone, backend) = spawn_zone(service, 6).await;
    sleep(FAILOVER).await;
    (silent, zone, backend)
}

#[gtest]
#[tokio::test]
async fn load_propagates_although_registered_collectors_are_silent() {
    let service = Service::new();
    let (_silent, zone, _backend) = spawn_zone_with_silent_collectors(&service).await;
    expect_load_propagates(&zone).await;
}

// Gateways that a pause made ask other replacements of silent collectors never heard of each other.
#[gtest]
#[tokio::test]
async fn load_propagates_after_pauses_although_registered_collectors_are_silent() {
    let service = Service::new();
    let (_silent, zone, _backend) = spawn_zone_with_silent_collectors(&service).await;
    for _ in 0..3 {
        // All gateways run on this thread.
        std::thread::sleep(PAUSE);
        sleep(BETWEEN_PAUSES).await;
    }
    sleep(FAILOVER).await;
    expect_load_propagates(&zone).await;
}

#[gtest]
#[tokio::test]
async fn an_isolated_gateway_assumes_its_own_load_for_each_peer() {
    for (peers, status) in [(0, None), (9, Some(503))] {
        let service = Service::new();
        for index in 0..peers {
            // Nothing listens on the discard port.
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
        // Long enough that ten gateways' prompts are not prefilled when the second one comes.
        let first = caller::request("/stream/", "x-tokens: 6000\r\n");
        let _first = caller::open(node.callers, &first).await;
        sleep(Duration::from_millis(200)).await;
        let second = caller::request("/stream/", "x-tokens: 2000\r\n");
        let second = caller::send(node.callers, &second);
        let second = tokio::time::timeout(Duration::from_millis(300), second).await;
        let refusal = second.ok().map(|response| response.status);
        expect_that!(refusal, eq(status), "{peers} peers");
    }
}
