//! The key-value service is restored from a backup that is some seconds old.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::{Backend, Behavior};
use crate::feed::Service;
use crate::fleet::{Node, ready, register};

const KEY: &str = "Authorization: Bearer secret\r\n";

/// Time within which a change is applied.
const PROPAGATION: Duration = Duration::from_millis(900);

/// Time after which servers are removed that the backup lacks and that do not register again: up
/// to 0.9 s until the restore is detected, 2.5 s of grace and up to 0.9 s until the next check.
const REMOVAL: Duration = Duration::from_millis(4_500);

/// Writes until the service reaches a revision.
fn advance_to(service: &Service, revision: u64) {
    while service.revision() < revision {
        service.set("any", Some("x"));
    }
}

/// Restores the service from the backup, and optionally reuses the lost revisions.
fn restore(service: &Service, reuses_revisions: bool) {
    let revision = service.revision();
    service.restore();
    if reuses_revisions {
        advance_to(service, revision);
    }
}

#[gtest]
#[tokio::test]
async fn a_revoked_key_stays_revoked_after_a_restore() {
    for reuses_revisions in [false, true] {
        let backend = Backend::spawn(Behavior::Answer).await;
        let (service, node) = ready(&[&backend]).await;
        service.back_up();
        service.set("config", Some("7 other"));
        sleep(PROPAGATION).await;
        expect_that!(node.send("/keyed/", KEY).await.status, eq(401));
        restore(&service, reuses_revisions);
        sleep(PROPAGATION).await;
        expect_that!(node.send("/keyed/", KEY).await.status, eq(401));
        service.set("config", Some("8 secret"));
        sleep(PROPAGATION).await;
        expect_that!(
            node.send("/keyed/", KEY).await.status,
            eq(200),
            "a newer version restores the key"
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_gateway_disconnected_during_a_restore_applies_writes_with_reused_revisions() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    service.back_up();
    advance_to(&service, service.revision() + 5);
    sleep(PROPAGATION).await;
    node.kv.set_failing(true);
    sleep(Duration::from_millis(900)).await;
    let revision = service.revision();
    service.restore();
    service.set("config", Some("9 other"));
    advance_to(&service, revision);
    node.kv.set_failing(false);
    sleep(Duration::from_millis(1_600)).await;
    expect_that!(node.send("/keyed/", KEY).await.status, eq(401));
}

#[gtest]
#[tokio::test]
async fn servers_that_the_backup_lacks_have_time_to_register_again() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[]).await;
    service.back_up();
    register(&service, 0, &backend, "ready");
    sleep(PROPAGATION).await;
    restore(&service, true);
    sleep(PROPAGATION).await;
    expect_that!(node.send("/once/", "").await.status, eq(200));
    register(&service, 0, &backend, "ready");
    sleep(REMOVAL).await;
    expect_that!(
        node.send("/once/", "").await.status,
        eq(200),
        "the server registered again"
    );
    service.back_up();
    service.set("servers/plain-0", None);
    register(&service, 1, &backend, "ready");
    sleep(PROPAGATION).await;
    restore(&service, false);
    sleep(REMOVAL).await;
    expect_that!(
        node.send("/once/", "").await.status,
        eq(503),
        "no server registered again"
    );
}

#[gtest]
#[tokio::test]
async fn a_leaving_or_removed_server_is_not_brought_back_by_the_backup() {
    for state in ["leaving", "gone"] {
        for reuses_revisions in [false, true] {
            let backend = Backend::spawn(Behavior::Answer).await;
            let (service, node) = ready(&[&backend]).await;
            service.back_up();
            if state == "gone" {
                service.set("servers/plain-0", None);
            } else {
                register(&service, 0, &backend, state);
            }
            sleep(PROPAGATION).await;
            expect_that!(node.send("/once/", "").await.status, eq(503), "{state}");
            restore(&service, reuses_revisions);
            sleep(PROPAGATION).await;
            expect_that!(node.send("/once/", "").await.status, eq(503), "{state}");
            service.compact();
            sleep(PROPAGATION).await;
            expect_that!(
                node.send("/once/", "").await.status,
                eq(503),
                "{state}, listed again"
            );
            let value = format!("plain {} ready 9", backend.address);
            service.set("servers/plain-0", Some(&value));
            sleep(PROPAGATION).await;
            expect_that!(
                node.send("/once/", "").await.status,
                eq(200),
                "{state}, another instance"
            );
        }
    }
}

#[gtest]
#[tokio::test]
async fn an_evacuation_that_the_backup_lacks_holds_and_ends_with_its_key() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    service.back_up();
    service.set("evacuate/a", Some("{}"));
    sleep(PROPAGATION).await;
    restore(&service, true);
    sleep(PROPAGATION).await;
    expect_that!(node.send("/once/", "").await.status, eq(503));
    service.set("evacuate/a", Some("{}"));
    sleep(PROPAGATION).await;
    service.set("evacuate/a", None);
    sleep(Duration::from_millis(3_500)).await;
    expect_that!(node.send("/once/", "").await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn gateways_register_again_under_a_new_lease() {
    let (service, node) = ready(&[]).await;
    let grants = service.grants();
    service.back_up();
    sleep(PROPAGATION).await;
    restore(&service, true);
    sleep(Duration::from_millis(3_500)).await;
    expect_that!(
        service.grants(),
        gt(grants),
        "the old lease id may be in use by another holder"
    );
    expect_that!(service.keys("mulberryyoke/gateways/").is_empty(), eq(false));
    expect_that!(node.ready().await, eq(200));
}

/// Spawns more gateways than watch the service, so that some fetch from peers.
async fn spawn_five(service: &Arc<Service>) -> Vec<Node> {
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
async fn gateways_that_fetch_from_peers_follow_repeated_restores() {
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let nodes = spawn_five(&service).await;
    service.back_up();
    sleep(PROPAGATION).await;
    for version in [7, 8] {
        restore(&service, version == 8);
        service.set("config", Some(&format!("{version} key-{version}")));
        sleep(PROPAGATION + PROPAGATION).await;
        for node in &nodes {
            let header_lines = format!("Authorization: Bearer key-{version}\r\n");
            let status = node.send("/keyed/", &header_lines).await.status;
            expect_that!(status, eq(503), "the key is valid and there is no server");
        }
    }
}
