//! Gateways relay the announcements of leaving servers to each other.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, register};

const LEAVING_HEADER: &str = "x-leaving: 1\r\n";

/// Time for an announcement to reach all gateways of a zone.
const RELAY_TIME: Duration = Duration::from_millis(500);

/// Number of requests of which at least one reaches either of two equal servers, but for one in
/// millions of times.
const SAMPLE: usize = 24;

/// Starts two gateways with servers in both pools.
async fn start_two_gateways(servers: &[&Backend]) -> (Arc<Service>, [Node; 2]) {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    for (index, server) in servers.iter().enumerate() {
        register(&service, index, server, "ready");
    }
    let nodes = [
        Node::spawn(&service, "g0").await,
        Node::spawn(&service, "g1").await,
    ];
    for node in &nodes {
        node.wait_ready().await;
    }
    sleep(RELAY_TIME).await;
    (service, nodes)
}

fn request_count(server: &Backend) -> usize {
    server.state.heads().len()
}

/// Makes a server announce to a gateway that it is leaving.
async fn announce_leaving(server: &Backend, node: &Node) {
    server.state.set_behavior(Behavior::Answer, LEAVING_HEADER);
    let before = request_count(server);
    let deadline = Instant::now() + RELAY_TIME;
    while request_count(server) == before {
        assert!(Instant::now() < deadline, "the server gets a request");
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
}

/// Whether a gateway sends requests to a server. All requests must succeed.
async fn sends_to(node: &Node, server: &Backend) -> bool {
    let before = request_count(server);
    for _ in 0..SAMPLE {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    request_count(server) > before
}

#[gtest]
#[tokio::test]
async fn a_server_leaving_during_an_outage_gets_no_requests_from_peers() {
    let (leaving, stays) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, [first, second]) = start_two_gateways(&[&leaving, &stays]).await;
    expect_that!(sends_to(&second, &leaving).await, eq(true));
    for node in [&first, &second] {
        node.kv.set_hanging(true);
    }
    announce_leaving(&leaving, &first).await;
    sleep(RELAY_TIME).await;
    expect_that!(sends_to(&second, &leaving).await, eq(false));
    for node in [&first, &second] {
        node.kv.set_hanging(false);
    }
    // Longer than the timeout of the hanging calls.
    sleep(Duration::from_secs(1)).await;
    let third = Node::spawn(&service, "g2").await;
    third.wait_ready().await;
    sleep(RELAY_TIME).await;
    expect_that!(
        sends_to(&third, &leaving).await,
        eq(false),
        "gateway started later"
    );
}

#[gtest]
#[tokio::test]
async fn a_relayed_announcement_empties_no_pool_and_applies_to_one_instance() {
    let (one, other) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, [first, second]) = start_two_gateways(&[&one, &other]).await;
    announce_leaving(&one, &first).await;
    announce_leaving(&other, &first).await;
    expect_that!(first.send("/once/", "").await.status, eq(503));
    for server in [&one, &other] {
        server.state.set_behavior(Behavior::Answer, "");
    }
    sleep(RELAY_TIME).await;
    expect_that!(second.send("/once/", "").await.status, eq(200));
    let value = format!("plain {} ready 7", other.address);
    service.set("servers/plain-1", Some(&value));
    sleep(RELAY_TIME).await;
    expect_that!(sends_to(&second, &one).await, eq(false));
    expect_that!(sends_to(&first, &other).await, eq(true), "a new instance");
}
