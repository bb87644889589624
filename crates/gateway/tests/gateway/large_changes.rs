//! Changes and contents of the key-value service that are larger than a gateway can take.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, ready_with, register};

/// Memory of the gateways, in megabytes.
const MEMORY_MB: u64 = 60;

/// Size of a value, and number of its changes while a gateway is cut off: more than it takes in one
/// answer.
const VALUE_BYTES: usize = 500_000;
const CHANGES: usize = 20;

/// Time limit for a change to take effect.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

const OLD_KEY: &str = "Authorization: Bearer secret\r\n";
const NEW_KEY: &str = "Authorization: Bearer other\r\n";

/// Waits until a gateway accepts the new key; `false` after the time limit.
async fn accepts_new_key(node: &Node) -> bool {
    let until = Instant::now() + APPLY_TIMEOUT;
    while node.send("/keyed/", NEW_KEY).await.status != 200 {
        if Instant::now() > until {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    true
}

/// Guards against asking again and again for changes that are too large: a gateway that missed
/// them kept its old configuration until the service forgot its history.
#[gtest]
#[tokio::test]
async fn a_gateway_that_missed_too_many_changes_lists_instead() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(800)).await;
    let large = "x".repeat(VALUE_BYTES);
    for _ in 0..CHANGES {
        service.set("notes/changed", Some(&large));
    }
    service.set("config", Some("6 other"));
    node.kv.set_failing(false);
    expect_that!(accepts_new_key(&node).await, eq(true));
    expect_that!(node.send("/keyed/", OLD_KEY).await.status, eq(401));
}

/// As above, for a gateway that follows the others.
#[gtest]
#[tokio::test]
async fn a_follower_that_missed_too_many_changes_lists_instead() {
    const GATEWAYS: usize = 5;
    let backend = Backend::spawn(Behavior::Answer).await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    register(&service, 0, &backend, "ready");
    let mut nodes = Vec::new();
    for index in 0..GATEWAYS {
        let name = format!("g{index}");
        nodes.push(Node::spawn_with(&service, &name, 1.0, Some(MEMORY_MB)).await);
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    let large = "x".repeat(VALUE_BYTES);
    for index in 0..CHANGES {
        service.set(&format!("notes/{index}"), Some(&large));
    }
    service.set("config", Some("6 other"));
    for node in &nodes {
        expect_that!(accepts_new_key(node).await, eq(true));
    }
}

/// Contents that exceed what a gateway can take leave its configuration in force until it gets old;
/// it goes on once they fit.
#[gtest]
#[tokio::test]
async fn a_gateway_goes_on_once_the_contents_fit_again() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
    let large = "x".repeat(VALUE_BYTES);
    for index in 0..2 * CHANGES {
        service.set(&format!("notes/{index}"), Some(&large));
    }
    service.set("config", Some("6 other"));
    sleep(APPLY_TIMEOUT).await;
    expect_that!(node.send("/once/", "").await.status, eq(200));
    expect_that!(node.send("/keyed/", NEW_KEY).await.status, not(eq(200)));
    let metrics = node.metrics().await;
    expect_that!(
        metrics,
        contains_substring(r#"source_failures_total{source="service",kind="too_large"}"#)
    );
    for index in 0..2 * CHANGES {
        service.set(&format!("notes/{index}"), None);
    }
    expect_that!(accepts_new_key(&node).await, eq(true));
}
