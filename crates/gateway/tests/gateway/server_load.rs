//! Servers report their load in the headers of their responses.
//!
//! A server that a neighbour on its machine slows down must be avoided by all gateways as soon as
//! one of them gets its report, and used again as soon as a report says so.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, ready, register};

const SLOW: &str = "x-load: 0,0,8,250\r\n";
const NORMAL: &str = "x-load: 0,0,8,100\r\n";

/// Time for a report to reach the other gateways of a zone.
const RELAY_TIME: Duration = Duration::from_millis(300);

/// Time after which a report has expired, at a gateway that has just got it from another.
const EXPIRY_TIME: Duration = Duration::from_millis(1_300);

/// Whether a gateway sends requests to a server.
async fn sends_to(node: &Node, server: &Backend) -> bool {
    let before = server.state.heads().len();
    for _ in 0..12 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
    server.state.heads().len() > before
}

/// Sends requests until a server has got one.
async fn reach(node: &Node, server: &Backend) {
    let before = server.state.heads().len();
    let deadline = Instant::now() + Duration::from_secs(3);
    while server.state.heads().len() == before {
        assert!(Instant::now() < deadline, "the server gets a request");
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn a_slowed_server_is_avoided_from_one_report_to_the_next() {
    let (slowed, other) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (_service, node) = ready(&[&slowed, &other]).await;
    slowed.state.set_behavior(Behavior::Answer, SLOW);
    reach(&node, &slowed).await;
    expect_that!(sends_to(&node, &slowed).await, eq(false));
    // No more requests, no more reports: it is tried again.
    sleep(EXPIRY_TIME).await;
    slowed.state.set_behavior(Behavior::Answer, NORMAL);
    reach(&node, &slowed).await;
    expect_that!(sends_to(&node, &slowed).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn unreadable_reports_do_not_count() {
    for (header_lines, is_used) in [("x-load: 0,0,8\r\n", true), (SLOW, false)] {
        let (slowed, other) = (
            Backend::spawn(Behavior::Answer).await,
            Backend::spawn(Behavior::Answer).await,
        );
        let (_service, node) = ready(&[&slowed, &other]).await;
        slowed.state.set_behavior(Behavior::Answer, header_lines);
        reach(&node, &slowed).await;
        expect_that!(
            sends_to(&node, &slowed).await,
            eq(is_used),
            "{header_lines}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_report_to_one_gateway_counts_at_its_peers() {
    let (slowed, other) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let service = Service::new();
    service.set("config", Some("5 secret"));
    for (index, server) in [&slowed, &other].into_iter().enumerate() {
        register(&service, index, server, "ready");
    }
    let first = Node::spawn(&service, "g0").await;
    let second = Node::spawn(&service, "g1").await;
    for node in [&first, &second] {
        node.wait_ready().await;
    }
    sleep(Duration::from_millis(500)).await;
    expect_that!(sends_to(&second, &slowed).await, eq(true));
    slowed.state.set_behavior(Behavior::Answer, SLOW);
    reach(&first, &slowed).await;
    sleep(RELAY_TIME).await;
    expect_that!(sends_to(&second, &slowed).await, eq(false));
    sleep(EXPIRY_TIME).await;
    slowed.state.set_behavior(Behavior::Answer, "");
    expect_that!(sends_to(&second, &slowed).await, eq(true), "expired");
}
