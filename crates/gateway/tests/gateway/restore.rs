//! The key-value service comes back from a copy some seconds old.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, ready, register};

const KEY: &str = "Authorization: Bearer secret\r\n";

/// Time within which a change is in force, in milliseconds.
const SOON: Duration = Duration::from_millis(900);

/// Time after which servers are gone that a copy lacks and that do not register again: 2.5 s from
/// when it is known that the service came back, which a call that waits learns 0.9 s later at
/// most, and as long until the next look.
const GONE: Duration = Duration::from_millis(4_500);

/// Writes until the service is at a revision again.
fn write_up_to(service: &Service, revision: u64) {
    while service.revision() < revision {
        service.set("any", Some("x"));
    }
}

/// Comes back from the copy and gives the revisions since then out again.
fn restore(service: &Service, is_given_again: bool) {
    let revision = service.revision();
    service.restore();
    if is_given_again {
        write_up_to(service, revision);
    }
}

#[gtest]
#[tokio::test]
async fn a_key_that_was_taken_away_does_not_come_back() {
    for is_given_again in [false, true] {
        let backend = Backend::spawn(Behavior::Answer).await;
        let (service, node) = ready(&[&backend]).await;
        service.back_up();
        service.set("config", Some("7 other"));
        sleep(SOON).await;
        expect_that!(node.ask("/keyed/", KEY).await.status, eq(401));
        restore(&service, is_given_again);
        sleep(SOON).await;
        expect_that!(node.ask("/keyed/", KEY).await.status, eq(401));
        service.set("config", Some("8 secret"));
        sleep(SOON).await;
        expect_that!(
            node.ask("/keyed/", KEY).await.status,
            eq(200),
            "it is written again"
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_node_that_was_away_meanwhile_learns_what_is_written_under_its_old_revision() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    service.back_up();
    write_up_to(&service, service.revision() + 5);
    sleep(SOON).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(900)).await;
    let revision = service.revision();
    service.restore();
    service.set("config", Some("9 other"));
    write_up_to(&service, revision);
    node.kv.set_failing(false);
    sleep(Duration::from_millis(1_600)).await;
    expect_that!(node.ask("/keyed/", KEY).await.status, eq(401));
}

#[gtest]
#[tokio::test]
async fn servers_that_the_copy_lacks_have_time_to_register_again() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[]).await;
    service.back_up();
    register(&service, 0, &backend, "ready");
    sleep(SOON).await;
    restore(&service, true);
    sleep(SOON).await;
    expect_that!(node.ask("/once/", "").await.status, eq(200));
    register(&service, 0, &backend, "ready");
    sleep(GONE).await;
    expect_that!(
        node.ask("/once/", "").await.status,
        eq(200),
        "it registered again"
    );
    service.back_up();
    service.set("servers/plain-0", None);
    register(&service, 1, &backend, "ready");
    sleep(SOON).await;
    restore(&service, false);
    sleep(GONE).await;
    expect_that!(
        node.ask("/once/", "").await.status,
        eq(503),
        "none registered again"
    );
}

#[gtest]
#[tokio::test]
async fn a_server_that_leaves_or_is_gone_is_not_brought_back_by_the_copy() {
    for state in ["leaving", "gone"] {
        for is_given_again in [false, true] {
            let backend = Backend::spawn(Behavior::Answer).await;
            let (service, node) = ready(&[&backend]).await;
            service.back_up();
            if state == "gone" {
                service.set("servers/plain-0", None);
            } else {
                register(&service, 0, &backend, state);
            }
            sleep(SOON).await;
            expect_that!(node.ask("/once/", "").await.status, eq(503), "{state}");
            restore(&service, is_given_again);
            sleep(SOON).await;
            expect_that!(node.ask("/once/", "").await.status, eq(503), "{state}");
            service.compact();
            sleep(SOON).await;
            expect_that!(
                node.ask("/once/", "").await.status,
                eq(503),
                "{state}, read again"
            );
            let value = format!("plain {} ready 9", backend.address);
            service.set("servers/plain-0", Some(&value));
            sleep(SOON).await;
            expect_that!(
                node.ask("/once/", "").await.status,
                eq(200),
                "{state}, another life"
            );
        }
    }
}

#[gtest]
#[tokio::test]
async fn an_evacuation_that_the_copy_lacks_still_holds_and_ends_with_its_key() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    service.back_up();
    service.set("evacuate/a", Some("{}"));
    sleep(SOON).await;
    restore(&service, true);
    sleep(SOON).await;
    expect_that!(node.ask("/once/", "").await.status, eq(503));
    service.set("evacuate/a", Some("{}"));
    sleep(SOON).await;
    service.set("evacuate/a", None);
    sleep(Duration::from_millis(3_500)).await;
    expect_that!(node.ask("/once/", "").await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn gateways_register_again_under_a_lease_of_their_own() {
    let (service, node) = ready(&[]).await;
    let grants = service.grants();
    service.back_up();
    sleep(SOON).await;
    restore(&service, true);
    sleep(Duration::from_millis(3_500)).await;
    expect_that!(
        service.grants(),
        gt(grants),
        "the old lease may be another's"
    );
    expect_that!(service.keys("mulberryyoke/gateways/").is_empty(), eq(false));
    expect_that!(node.ready().await, eq(200));
}

/// Nodes that ask peers, as there are more than ask the service itself.
async fn five(service: &Arc<Service>) -> Vec<Node> {
    let mut nodes = Vec::new();
    for name in ["g0", "g1", "g2", "g3", "g4"] {
        nodes.push(Node::spawn(service, name).await);
    }
    for node in &nodes {
        node.wait_ready().await;
    }
    nodes
}

#[gtest]
#[tokio::test]
async fn nodes_that_ask_peers_follow_into_the_new_era_a_second_time_as_well() {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let nodes = five(&service).await;
    service.back_up();
    sleep(SOON).await;
    for version in [7, 8] {
        restore(&service, version == 8);
        service.set("config", Some(&format!("{version} key-{version}")));
        sleep(SOON + SOON).await;
        for node in &nodes {
            let fields = format!("Authorization: Bearer key-{version}\r\n");
            let status = node.ask("/keyed/", &fields).await.status;
            expect_that!(status, eq(503), "the key is known and there is no server");
        }
    }
}
