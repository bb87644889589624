//! Versions are recorded in the key-value service before streams begin on them that callers can
//! resume.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_model::{PoolId, VersionId};
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::Node;
use crate::version_fleet::{Fleet, PROPAGATION, register, request};

/// Prefix of the records.
const PREFIX: &str = "mulberryyoke/versions/";

/// Number of requests, more than there are servers.
const REQUESTS: usize = 8;

/// Time for which a gateway that the service fails keeps servers whose registration ended.
const LAPSE_GRACE: Duration = Duration::from_millis(1_500);

/// Time after which a copy of the contents counts as stale if nothing renews it.
const STALE: Duration = Duration::from_secs(3);

/// Key of the record of a version of the pool of model servers.
fn key(version: &str) -> String {
    let (pool, version) = (PoolId::of("model"), VersionId::of(version));
    format!("{PREFIX}{:08x}/{:08x}", pool.0, version.0)
}

/// Sends requests for streams that can be resumed, one after the other, and returns the bodies of
/// those that did not begin.
async fn begin_all(node: &Node, name: &str) -> Vec<String> {
    let mut refused = Vec::new();
    for index in 0..REQUESTS {
        let text = request(&format!("{name}{index}"), "");
        let response = caller::send(node.callers, &text).await;
        if response.status != 200 {
            refused.push(response.body);
        }
    }
    refused
}

/// Adds servers of a version.
async fn add_servers(fleet: &mut Fleet, version: &'static str) {
    for _ in 0..2 {
        let backend = Backend::spawn(Behavior::Stream).await;
        register(&fleet.service, fleet.servers.len(), &backend, version);
        fleet.servers.push((backend, version));
    }
}

/// Removes the two servers of the first version.
fn remove_first_servers(fleet: &Fleet) {
    for index in 0..2 {
        let key = format!("servers/model-{index}");
        fleet.service.set(&key, None);
    }
}

/// Number of requests with this name that servers of a version ran.
fn run_on(fleet: &Fleet, name: &str, version: &str) -> usize {
    let ids = (0..REQUESTS).map(|index| format!("{name}{index}"));
    ids.filter(|id| fleet.version_of(id) == Some(version))
        .count()
}

#[gtest]
#[tokio::test]
async fn gateways_that_start_first_are_ready_once_versions_are_recorded() {
    let backend = Backend::spawn(Behavior::Stream).await;
    for round in 0..3 {
        let service = Service::new();
        service.set("config", Some("5 secret"));
        register(&service, 0, &backend, "1");
        let nodes = ["g0", "g1", "g2"].map(|name| Node::spawn(&service, name));
        for node in join_all(nodes).await {
            node.wait_ready().await;
            let refused = begin_all(&node, "first").await;
            expect_that!(refused, is_empty(), "{round}");
        }
        expect_that!(service.keys(PREFIX), container_eq([key("1")]));
    }
}

#[gtest]
#[tokio::test]
async fn a_version_that_no_gateway_can_record_gets_no_streams_that_callers_resume() {
    let mut fleet = Fleet::spawn(2, &[(Behavior::Stream, "1"); 2]).await;
    for node in &fleet.nodes {
        node.kv.set_rejecting_writes(true);
    }
    add_servers(&mut fleet, "2").await;
    sleep(PROPAGATION).await;
    let refused = begin_all(&fleet.nodes[0], "a").await;
    expect_that!(refused, is_empty());
    expect_that!(run_on(&fleet, "a", "1"), eq(REQUESTS));
    // Other requests go to it.
    let others = (0..2 * REQUESTS).map(|_| fleet.nodes[0].send("/stream/", "x-tokens: 100\r\n"));
    join_all(others).await;
    let heads = fleet.servers[2..].iter();
    let heads: usize = heads.map(|(server, _)| server.state.heads().len()).sum();
    expect_that!(heads, gt(0));
    remove_first_servers(&fleet);
    sleep(PROPAGATION).await;
    let refused = begin_all(&fleet.nodes[0], "none").await;
    expect_that!(refused, each(contains_substring("no_server")));
    expect_that!(refused.len(), eq(REQUESTS));
    fleet.nodes[1].kv.set_rejecting_writes(false);
    sleep(3 * PROPAGATION).await;
    expect_that!(begin_all(&fleet.nodes[0], "b").await, is_empty());
    expect_that!(run_on(&fleet, "b", "2"), eq(REQUESTS));
}

#[gtest]
#[tokio::test]
async fn a_release_is_recorded_by_the_gateways_that_the_service_does_not_reject() {
    let mut fleet = Fleet::spawn(3, &[(Behavior::Stream, "1"); 2]).await;
    for node in &fleet.nodes[..2] {
        node.kv.set_failing(true);
    }
    sleep(PROPAGATION).await;
    add_servers(&mut fleet, "2").await;
    remove_first_servers(&fleet);
    sleep(PROPAGATION + LAPSE_GRACE).await;
    for (index, node) in fleet.nodes.iter().enumerate() {
        let name = format!("n{index}-");
        expect_that!(begin_all(node, &name).await, is_empty(), "{index}");
        expect_that!(run_on(&fleet, &name, "2"), eq(REQUESTS));
    }
    let mut keys = [key("1"), key("2")];
    keys.sort_unstable();
    expect_that!(fleet.service.keys(PREFIX), container_eq(keys));
}

#[gtest]
#[tokio::test]
async fn a_gateway_that_starts_while_no_version_can_be_recorded_is_ready_nevertheless() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    register(&service, 0, &backend, "1");
    let start = Instant::now();
    let node = Node::spawn(&service, "g0").await;
    node.kv.set_rejecting_writes(true);
    node.wait_ready().await;
    expect_that!(start.elapsed(), lt(Duration::from_secs(5)));
}

#[gtest]
#[tokio::test]
async fn records_that_a_restore_lost_are_written_again_and_marked() {
    let mut fleet = Fleet::spawn(3, &[(Behavior::Stream, "1"); 2]).await;
    fleet.service.back_up();
    add_servers(&mut fleet, "2").await;
    sleep(PROPAGATION).await;
    fleet.service.restore();
    for (index, (backend, version)) in fleet.servers.iter().enumerate() {
        register(&fleet.service, index, backend, version);
    }
    for round in 0..8 {
        let node = &fleet.nodes[round % 3];
        let refused = begin_all(node, &format!("r{round}-")).await;
        expect_that!(refused, is_empty(), "{round}");
        sleep(Duration::from_millis(300)).await;
    }
    let mut keys = vec![key("1"), key("2"), format!("{PREFIX}era")];
    keys.sort_unstable();
    expect_that!(fleet.service.keys(PREFIX), container_eq(keys));
}

#[gtest]
#[tokio::test]
async fn a_stale_record_is_taken_for_the_only_one_of_a_stream_that_is_not_named() {
    let fleet = Fleet::spawn(1, &[(Behavior::Stream, "1"), (Behavior::Stream, "1")]).await;
    let fresh = fleet.resume(0, "fresh", None).await;
    expect_that!(fresh.status, eq(200), "{}", fresh.body);
    fleet.nodes[0].kv.set_failing(true);
    sleep(STALE).await;
    let stale = fleet.resume(0, "stale", None).await;
    expect_that!(stale.status, eq(503));
    expect_that!(stale.body, contains_substring("version_unanswered"));
    expect_that!(stale.head, contains_substring("retry-after: "));
    expect_that!(fleet.version_of("stale"), none());
}
