//! Tests of gateways whose machine is suspended: the boot clock advances, the monotonic clock does
//! not.
//!
//! The simulated suspension affects the whole process, so these tests have their own binary and run
//! one at a time.

#![allow(
    dead_code,
    reason = "the modules are shared with the other integration tests"
)]

#[path = "../gateway/backend.rs"]
mod backend;
#[path = "../gateway/caller.rs"]
mod caller;
#[path = "../gateway/crashing_server.rs"]
mod crashing_server;
#[path = "../gateway/feed.rs"]
mod feed;
#[path = "../gateway/fleet.rs"]
mod fleet;
#[path = "../gateway/protocol.rs"]
mod protocol;

use std::time::Duration;

use googletest::prelude::*;
use mulberryyoke_gateway::clock;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, field};
use crate::crashing_server::{CRASH_BODY, CrashCounts, CrashingServer, RestartName, crash_count};
use crate::feed::Service;
use crate::fleet::{Node, ready};
use crate::protocol::TIMEOUT_MS;

/// Serializes the tests.
static SERIAL: Mutex<()> = Mutex::const_new(());

/// A suspension that outlasts configurations, peers and registrations, in milliseconds.
const LONG_MS: u64 = 10_000;

/// A suspension shorter than the callers' timeout, in milliseconds.
const SHORT_MS: u64 = 800;

/// Grace period of a server whose registration ended during an outage of the service.
const REGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// First quarantine of a request that has crashed three servers, in milliseconds.
const QUARANTINE_MS: u64 = 60_000;

/// Time for which a suspect request runs exclusively, with a margin.
const TRIAL: Duration = Duration::from_millis(1_100);

const KEY: &str = "Authorization: Bearer secret\r\n";

#[gtest]
#[tokio::test]
async fn a_resumed_gateway_does_not_use_its_old_configuration() {
    let _serial = SERIAL.lock().await;
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    expect_that!(node.send("/keyed/", KEY).await.status, eq(200));
    node.kv.set_failing(true);
    sleep(Duration::from_millis(100)).await;
    // During the suspension, the key is revoked and the server deregistered.
    service.set("config", Some("6 other"));
    service.set("servers/plain-0", None);
    clock::simulate_suspension(LONG_MS);
    for path in ["/keyed/", "/idempotent/", "/once/"] {
        let response = node.send(path, KEY).await;
        expect_that!(response.status, eq(503), "{path}");
        expect_that!(
            response.body,
            contains_substring("no_configuration"),
            "{path}"
        );
    }
    expect_that!(node.ready().await, eq(503));
    node.kv.set_failing(false);
    node.wait_ready().await;
    expect_that!(node.send("/keyed/", KEY).await.status, eq(401));
    // Registrations that end during an outage have a grace period.
    sleep(REGISTRATION_GRACE).await;
    expect_that!(
        node.send("/idempotent/", "").await.body,
        contains_substring("no_server")
    );
    expect_that!(backend.state.heads(), len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn servers_get_at_most_the_callers_remaining_time() {
    let _serial = SERIAL.lock().await;
    let (silent, other) = (
        Backend::spawn(Behavior::Hang).await,
        Backend::spawn(Behavior::Hang).await,
    );
    let (_service, node) = ready(&[&silent, &other]).await;
    let response = node.send("/idempotent/", "");
    let suspension = async {
        sleep(Duration::from_millis(50)).await;
        clock::simulate_suspension(SHORT_MS);
    };
    tokio::join!(response, suspension);
    let heads = [silent.state.heads(), other.state.heads()].concat();
    let left = heads
        .iter()
        .filter_map(|head| field(head, "x-left-ms")?.parse().ok());
    let mut left: Vec<u64> = left.collect();
    left.sort_unstable();
    expect_that!(left, len(eq(2)));
    expect_that!(left[0], le(TIMEOUT_MS - SHORT_MS));
}

#[gtest]
#[tokio::test]
async fn requests_that_time_out_during_a_suspension_fail_at_once() {
    let _serial = SERIAL.lock().await;
    for path in ["/once/", "/stream/", "/idempotent/"] {
        let backend = Backend::spawn(Behavior::Hang).await;
        let (_service, node) = ready(&[&backend]).await;
        let started = Instant::now();
        let response = node.send(path, "x-tokens: 10\r\n");
        let suspension = async {
            sleep(Duration::from_millis(50)).await;
            clock::simulate_suspension(LONG_MS);
        };
        let (response, ()) = tokio::join!(response, suspension);
        expect_that!(response.status, eq(504), "{path}");
        expect_that!(started.elapsed(), lt(Duration::from_millis(500)), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_resumed_gateway_renews_its_lease_at_once() {
    let _serial = SERIAL.lock().await;
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, _node) = ready(&[&backend]).await;
    sleep(Duration::from_millis(200)).await;
    let renewals = service.renewals();
    clock::simulate_suspension(LONG_MS);
    sleep(Duration::from_millis(300)).await;
    expect_that!(service.renewals(), gt(renewals));
}

#[gtest]
#[tokio::test]
async fn quarantine_time_includes_suspensions() {
    let _serial = SERIAL.lock().await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let mut servers = Vec::new();
    for index in 0..5 {
        let crash_counts = CrashCounts::default();
        servers.push(CrashingServer::spawn(
            &service,
            index,
            RestartName::New.into(),
            Behavior::Answer,
            &crash_counts,
        ));
    }
    let node = Node::spawn(&service, "g0").await;
    node.wait_ready().await;
    let request = caller::request_with_body("/once/", "", CRASH_BODY);
    for _ in 0..4 {
        caller::send(node.callers, &request).await;
        sleep(TRIAL).await;
    }
    expect_that!(crash_count(&servers), eq(3));
    clock::simulate_suspension(QUARANTINE_MS);
    sleep(Duration::from_millis(100)).await;
    node.wait_ready().await;
    for _ in 0..2 {
        caller::send(node.callers, &request).await;
    }
    expect_that!(crash_count(&servers), eq(4));
}
