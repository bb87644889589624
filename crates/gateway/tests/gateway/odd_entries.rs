//! Entries among those of the servers that another client wrote.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, ready, register};

const PROMPT: &str = "x-tokens: 100\r\n";

/// Time within which a change is applied.
const PROPAGATION: Duration = Duration::from_millis(900);

/// Values that name no server that may be used.
fn odd_values() -> [Vec<u8>; 6] {
    [
        Vec::new(),
        vec![0xff; 20],
        b"plain 127.0.0.1:70000 ready".to_vec(),
        b"plain 127.0.0.1:80 ready 1 99999999999999999999999".to_vec(),
        "[".repeat(200_000).into_bytes(),
        b"{}".to_vec(),
    ]
}

fn write_odd(service: &Service, count: usize) {
    let values = odd_values();
    for index in 0..count {
        // Large ones only now and then, as the contents are bounded.
        let value = &values[if index < 60 { index % 6 } else { index % 3 }];
        service.write(&format!("servers/odd-{index}"), Some(value.clone()));
    }
}

async fn expect_served(node: &Node, name: &str) {
    for _ in 0..5 {
        let response = node.send("/once/", PROMPT).await;
        expect_that!(response.status, eq(200), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn a_gateway_starts_and_serves_beside_ten_thousand_odd_entries() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    write_odd(&service, 10_000);
    register(&service, 0, &backend, "ready");
    let node = Node::spawn(&service, "g0").await;
    node.wait_ready().await;
    expect_served(&node, "listing").await;
}

#[gtest]
#[tokio::test]
async fn changes_are_followed_beside_odd_entries_that_change_often() {
    let (first, second) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&first]).await;
    for _ in 0..20 {
        write_odd(&service, 50);
        sleep(Duration::from_millis(10)).await;
    }
    register(&service, 1, &second, "ready");
    register(&service, 0, &first, "leaving");
    sleep(PROPAGATION).await;
    let before = first.state.heads().len();
    expect_served(&node, "watch").await;
    expect_that!(first.state.heads().len(), eq(before));
}

#[gtest]
#[tokio::test]
async fn an_odd_entry_over_that_of_a_server_ends_its_use_until_it_registers_again() {
    let (first, second) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&first, &second]).await;
    for value in odd_values() {
        for pool in ["plain", "model"] {
            service.write(&format!("servers/{pool}-0"), Some(value.clone()));
        }
        sleep(PROPAGATION).await;
        let before = first.state.heads().len();
        expect_served(&node, "replaced").await;
        expect_that!(first.state.heads().len(), eq(before));
    }
    register(&service, 0, &first, "ready");
    register(&service, 1, &second, "leaving");
    sleep(PROPAGATION).await;
    expect_served(&node, "registered again").await;
}

#[gtest]
#[tokio::test]
async fn servers_are_used_beside_odd_entries_of_a_backup() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    write_odd(&service, 100);
    service.back_up();
    sleep(PROPAGATION).await;
    service.restore();
    sleep(PROPAGATION).await;
    register(&service, 0, &backend, "ready");
    expect_served(&node, "restored").await;
}

#[gtest]
#[tokio::test]
async fn odd_entries_are_passed_on_by_other_gateways() {
    let (first, second) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let service = Service::new();
    service.set("config", Some("5 secret"));
    register(&service, 0, &first, "ready");
    let mut nodes = Vec::new();
    for index in 0..3 {
        nodes.push(Node::spawn(&service, &format!("g{index}")).await);
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    // It learns from the others from now on.
    nodes[2].kv.set_failing(true);
    write_odd(&service, 100);
    register(&service, 1, &second, "ready");
    register(&service, 0, &first, "leaving");
    sleep(2 * PROPAGATION).await;
    let before = first.state.heads().len();
    expect_served(&nodes[2], "peers").await;
    expect_that!(first.state.heads().len(), eq(before));
}

// The sum of such a time and the clock wrapped around, or ended the task that follows the service.
#[gtest]
#[tokio::test]
async fn a_server_that_is_cold_for_ever_does_not_stop_the_others() {
    let (cold, warm) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&warm]).await;
    let value = format!("plain {} ready 1 {}", cold.address, u64::MAX);
    service.set("servers/plain-cold", Some(&value));
    sleep(PROPAGATION).await;
    expect_served(&node, "cold").await;
    service.set("config", Some("6 other"));
    sleep(PROPAGATION).await;
    let key = "Authorization: Bearer other\r\n";
    let until = Instant::now() + PROPAGATION;
    while node.send("/keyed/", key).await.status != 200 && Instant::now() < until {
        sleep(Duration::from_millis(20)).await;
    }
    expect_that!(node.send("/keyed/", key).await.status, eq(200));
}
