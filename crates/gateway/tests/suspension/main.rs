//! A gateway whose machine is suspended: the boot clock goes on, the steady clock stands still.
//!
//! The clock is the process's, so that these tests have a process of their own and run one
//! after another.

#![allow(
    dead_code,
    reason = "what it needs is shared with the tests of gateways that are never suspended"
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

/// One test at a time.
static ONE: Mutex<()> = Mutex::const_new(());

/// A suspension, in milliseconds: longer than a view, a peer or a server's registration lasts.
const LONG_MS: u64 = 10_000;

/// A suspension that is shorter than callers wait, in milliseconds.
const SHORT_MS: u64 = 800;

/// Time for which a server stays in use whose registration ended while the service failed.
const LAPSE: Duration = Duration::from_secs(2);

/// Time for which a request is first kept from servers that has ended three, in milliseconds.
const SENTENCE_MS: u64 = 60_000;

/// Time that one copy under suspicion has for itself, and a little more.
const TRIAL: Duration = Duration::from_millis(1_100);

const KEY: &str = "Authorization: Bearer secret\r\n";

#[gtest]
#[tokio::test]
async fn a_woken_gateway_serves_nothing_by_what_it_knew_before() {
    let _one = ONE.lock().await;
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&backend]).await;
    expect_that!(node.ask("/keyed/", KEY).await.status, eq(200));
    node.kv.set_failing(true);
    sleep(Duration::from_millis(100)).await;
    // Meanwhile the key is taken away and the server leaves.
    service.set("config", Some("6 other"));
    service.set("servers/plain-0", None);
    clock::simulate_suspension(LONG_MS);
    for path in ["/keyed/", "/idempotent/", "/once/"] {
        let reply = node.ask(path, KEY).await;
        expect_that!(reply.status, eq(503), "{path}");
        expect_that!(reply.body, contains_substring("no_configuration"), "{path}");
    }
    expect_that!(node.ready().await, eq(503));
    node.kv.set_failing(false);
    node.wait_ready().await;
    expect_that!(node.ask("/keyed/", KEY).await.status, eq(401));
    // A registration that ends while the service fails has time to come back.
    sleep(LAPSE).await;
    expect_that!(
        node.ask("/idempotent/", "").await.body,
        contains_substring("no_server")
    );
    expect_that!(backend.state.heads(), len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn servers_are_handed_no_more_time_than_the_caller_has_left() {
    let _one = ONE.lock().await;
    let (silent, other) = (
        Backend::spawn(Behavior::Hang).await,
        Backend::spawn(Behavior::Hang).await,
    );
    let (_service, node) = ready(&[&silent, &other]).await;
    let asked = node.ask("/idempotent/", "");
    let suspended = async {
        sleep(Duration::from_millis(50)).await;
        clock::simulate_suspension(SHORT_MS);
    };
    tokio::join!(asked, suspended);
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
async fn a_caller_whose_time_ended_meanwhile_is_told_at_once() {
    let _one = ONE.lock().await;
    for path in ["/once/", "/stream/", "/idempotent/"] {
        let backend = Backend::spawn(Behavior::Hang).await;
        let (_service, node) = ready(&[&backend]).await;
        let begun = Instant::now();
        let asked = node.ask(path, "x-tokens: 10\r\n");
        let suspended = async {
            sleep(Duration::from_millis(50)).await;
            clock::simulate_suspension(LONG_MS);
        };
        let (reply, ()) = tokio::join!(asked, suspended);
        expect_that!(reply.status, eq(504), "{path}");
        expect_that!(begun.elapsed(), lt(Duration::from_millis(500)), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_woken_gateway_renews_its_lease_at_once() {
    let _one = ONE.lock().await;
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, _node) = ready(&[&backend]).await;
    sleep(Duration::from_millis(200)).await;
    let before = service.renewals();
    clock::simulate_suspension(LONG_MS);
    sleep(Duration::from_millis(300)).await;
    expect_that!(service.renewals(), gt(before));
}

#[gtest]
#[tokio::test]
async fn a_quarantine_ends_by_the_time_that_has_gone_by() {
    let _one = ONE.lock().await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let mut servers = Vec::new();
    for index in 0..5 {
        let luck = CrashCounts::default();
        servers.push(
            CrashingServer::spawn(&service, index, RestartName::New, Behavior::Answer, &luck).await,
        );
    }
    let node = Node::spawn(&service, "g0").await;
    node.wait_ready().await;
    let request = caller::request_with_body("/once/", "", CRASH_BODY);
    for _ in 0..4 {
        caller::send(node.callers, &request).await;
        sleep(TRIAL).await;
    }
    expect_that!(crash_count(&servers), eq(3));
    clock::simulate_suspension(SENTENCE_MS);
    sleep(Duration::from_millis(100)).await;
    node.wait_ready().await;
    for _ in 0..2 {
        caller::send(node.callers, &request).await;
    }
    expect_that!(crash_count(&servers), eq(4));
}
