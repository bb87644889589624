//! What one gateway learnt of a server that leaves spares the others asking it.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, register};

const LEAVING: &str = "x-leaving: 1\r\n";

/// Time within which all gateways of a zone know what one of them was told.
const KNOWN: Duration = Duration::from_millis(500);

/// Two gateways before servers of both pools.
async fn two(servers: &[&Backend]) -> (Arc<Service>, [Node; 2]) {
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
    sleep(KNOWN).await;
    (service, nodes)
}

fn came(server: &Backend) -> usize {
    server.state.heads().len()
}

/// Has a server tell a node that it leaves.
async fn tell(server: &Backend, node: &Node) {
    server.state.set_behavior(Behavior::Answer, LEAVING);
    let before = came(server);
    let until = Instant::now() + KNOWN;
    while came(server) == before {
        assert!(Instant::now() < until, "the server is used");
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
}

/// Whether a node sends a server requests; each is answered by one or another.
async fn uses(node: &Node, server: &Backend) -> bool {
    let before = came(server);
    for _ in 0..6 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    came(server) > before
}

#[gtest]
#[tokio::test]
async fn peers_spare_a_server_that_told_one_of_them_that_it_leaves_in_an_outage_as_well() {
    let (leaving, stays) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, [first, second]) = two(&[&leaving, &stays]).await;
    expect_that!(uses(&second, &leaving).await, eq(true));
    for node in [&first, &second] {
        node.kv.set_hanging(true);
    }
    tell(&leaving, &first).await;
    sleep(KNOWN).await;
    expect_that!(uses(&second, &leaving).await, eq(false));
    for node in [&first, &second] {
        node.kv.set_hanging(false);
    }
    // Calls that hang are given up by then.
    sleep(Duration::from_secs(1)).await;
    let third = Node::spawn(&service, "g2").await;
    third.wait_ready().await;
    sleep(KNOWN).await;
    expect_that!(uses(&third, &leaving).await, eq(false), "it started later");
}

#[gtest]
#[tokio::test]
async fn a_word_at_second_hand_empties_no_pool_and_is_of_one_life() {
    let (one, other) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, [first, second]) = two(&[&one, &other]).await;
    tell(&one, &first).await;
    tell(&other, &first).await;
    expect_that!(first.ask("/once/", "").await.status, eq(503));
    for server in [&one, &other] {
        server.state.set_behavior(Behavior::Answer, "");
    }
    sleep(KNOWN).await;
    expect_that!(second.ask("/once/", "").await.status, eq(200));
    let value = format!("plain {} ready 7", other.address);
    service.set("servers/plain-1", Some(&value));
    sleep(KNOWN).await;
    expect_that!(uses(&second, &one).await, eq(false));
    expect_that!(uses(&first, &other).await, eq(true), "a new life");
}
