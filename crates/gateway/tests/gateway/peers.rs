//! Configuration relayed between gateways, and failures of the key-value service.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{KEYS_FRESH_MS, Node, register};

/// Timeout for a change to take effect.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

const KEY: &str = "Authorization: Bearer secret\r\n";

/// Spawns eight gateways and waits until they are ready.
async fn spawn_eight(service: &Arc<Service>) -> Vec<Node> {
    let mut nodes = Vec::new();
    for index in 0..8 {
        nodes.push(Node::spawn(service, &format!("g{index}")).await);
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    nodes
}

/// Waits until a node accepts a key, or the timeout has elapsed.
async fn wait_accepted(node: &Node, key: &str, since: Instant) {
    while node.send("/keyed/", key).await.status != 200 && since.elapsed() < CHANGE_TIMEOUT {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the maximum time, over some versions, until all of these nodes accept a new key.
async fn max_change_delay(service: &Service, nodes: &[&Node], versions: Range<u64>) -> Duration {
    let mut max_delay = Duration::ZERO;
    for version in versions {
        let key = format!("key{version}");
        service.set("config", Some(&format!("{version} {key}")));
        let since = Instant::now();
        let key = format!("Authorization: Bearer {key}\r\n");
        for node in nodes {
            wait_accepted(node, &key, since).await;
        }
        max_delay = max_delay.max(since.elapsed());
        sleep(Duration::from_millis(130 * (version % 5))).await;
    }
    max_delay
}

#[gtest]
#[tokio::test]
async fn a_node_cut_off_from_the_service_gets_configuration_from_its_peers() {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let backend = Backend::spawn(Behavior::Answer).await;
    register(&service, 0, &backend, "ready");
    let one = Node::spawn(&service, "g1").await;
    let two = Node::spawn(&service, "g2").await;
    one.wait_ready().await;
    two.wait_ready().await;
    sleep(Duration::from_secs(1)).await;
    two.kv.set_failing(true);
    sleep(Duration::from_millis(KEYS_FRESH_MS + 500)).await;
    expect_that!(
        two.send("/keyed/", KEY).await.status,
        eq(200),
        "its configuration is fresh"
    );
    expect_that!(
        two.ready().await,
        eq(503),
        "not ready without contact to the service"
    );
    service.set("config", Some("8 other"));
    sleep(Duration::from_millis(1_500)).await;
    expect_that!(two.send("/keyed/", KEY).await.status, eq(401));
    one.kv.set_failing(true);
    sleep(Duration::from_millis(KEYS_FRESH_MS + 500)).await;
    let other = "Authorization: Bearer other\r\n";
    expect_that!(
        two.send("/keyed/", other).await.status,
        eq(503),
        "neither has a fresh configuration"
    );
}

#[gtest]
#[tokio::test]
async fn only_watchers_poll_the_service() {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let _nodes = spawn_eight(&service).await;
    sleep(Duration::from_secs(3)).await;
    let before = service.calls();
    sleep(Duration::from_secs(4)).await;
    let calls = service.calls() - before;
    // All renew their leases every 1.5 s; three long-poll for changes, 0.7 s per call.
    expect_that!(calls, le(8 * 3 + 3 * 2 * 7));
}

#[gtest]
#[tokio::test]
async fn a_change_takes_effect_in_time_although_registered_peers_are_silent() {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let mut silent = Vec::new();
    for index in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        service.set(&format!("mulberryyoke/gateways/s{index}"), Some(&address));
        silent.push(listener);
    }
    let backend = Backend::spawn(Behavior::Answer).await;
    register(&service, 0, &backend, "ready");
    let node = Node::spawn(&service, "g0").await;
    let max_delay = max_change_delay(&service, &[&node], 6..14).await;
    expect_that!(max_delay, lt(Duration::from_millis(2_600)));
}

#[gtest]
#[tokio::test]
async fn requests_with_a_key_are_served_soon_after_an_outage() {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let backend = Backend::spawn(Behavior::Answer).await;
    register(&service, 0, &backend, "ready");
    let nodes = spawn_eight(&service).await;
    sleep(Duration::from_secs(1)).await;
    for node in &nodes {
        node.kv.set_hanging(true);
    }
    sleep(Duration::from_millis(KEYS_FRESH_MS + 2_500)).await;
    for node in &nodes {
        node.kv.set_hanging(false);
    }
    let since = Instant::now();
    for node in &nodes {
        wait_accepted(node, KEY, since).await;
    }
    // Fails if calls to the service outlast its outage, or if peers that were cut off are avoided
    // for long.
    expect_that!(since.elapsed(), lt(Duration::from_millis(2_200)));
}

#[gtest]
#[tokio::test]
async fn a_change_takes_effect_in_time_although_all_watchers_are_cut_off() {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let backend = Backend::spawn(Behavior::Answer).await;
    register(&service, 0, &backend, "ready");
    let nodes = spawn_eight(&service).await;
    // The three watchers, whose names have the lowest hashes.
    for watcher in [2, 5, 6] {
        nodes[watcher].kv.set_hanging(true);
    }
    sleep(Duration::from_secs(1)).await;
    let others = [1, 3, 4].map(|index| &nodes[index]);
    let max_delay = max_change_delay(&service, &others, 6..12).await;
    // Fails if a peer that is cut off is asked again before the service.
    expect_that!(max_delay, lt(Duration::from_millis(2_600)));
}

/// Time for a node with contact to the service to stop using a server whose registration ended.
const REMOVAL: Duration = Duration::from_millis(1_200);

#[gtest]
#[tokio::test]
async fn an_ended_registration_takes_effect_at_once_after_an_earlier_outage() {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let backend = Backend::spawn(Behavior::Answer).await;
    register(&service, 0, &backend, "ready");
    let mut nodes = Vec::new();
    for index in 0..4 {
        // The first three are the watchers, from which the last one gets its configuration.
        let processors = if index < 3 { 2.0 } else { 0.5 };
        nodes.push(Node::spawn_with_cpus(&service, &format!("g{index}"), processors).await);
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    for is_failing in [true, false] {
        for node in &nodes {
            node.kv.set_failing(is_failing);
        }
        sleep(Duration::from_secs(4)).await;
    }
    // The service fails for the watchers only.
    let (watchers, last) = nodes.split_at(3);
    for node in watchers {
        node.kv.set_failing(true);
    }
    for _ in 0..2 {
        register(&service, 0, &backend, "ready");
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        while last[0].send("/idempotent/", "").await.status != 200 && Instant::now() < deadline {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(Duration::from_secs(2)).await;
        for pool in ["plain", "model"] {
            service.set(&format!("servers/{pool}-0"), None);
        }
        sleep(REMOVAL).await;
        expect_that!(last[0].send("/idempotent/", "").await.status, eq(503));
    }
}
