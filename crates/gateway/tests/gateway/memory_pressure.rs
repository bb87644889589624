//! Gateways whose memory runs short.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::fleet::{Node, ready_with};

/// Memory of the gateway, in megabytes.
const MEMORY_MB: u64 = 100;

const MIB: u64 = 1 << 20;

/// Time after which growth is over.
const SETTLED: Duration = Duration::from_millis(2_200);

fn record(node: &Node, megabytes: u64) {
    let gateway = node.gateway.as_ref().expect("the gateway runs");
    gateway.record_resident(megabytes * MIB);
}

async fn relay_status(node: &Node) -> u16 {
    let request = "GET /relay/list HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    caller::send(node.control, request).await.status
}

/// Guards against a process that is killed for its memory together with the requests of all its
/// callers: it refuses new ones before, and says that they have not run.
#[gtest]
#[tokio::test]
async fn new_requests_are_refused_while_memory_grows_towards_the_limit() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
    record(&node, 60);
    expect_that!(relay_status(&node).await, eq(200));
    let mut running = caller::open(node.callers, &caller::request("/stream/", "")).await;
    sleep(Duration::from_millis(50)).await;
    backend.state.set_behavior(Behavior::Answer, "");
    record(&node, 90);
    expect_that!(relay_status(&node).await, eq(410), "the copy is dropped");
    expect_that!(node.ready().await, eq(503));
    let refused = node.send("/once/", "").await;
    expect_that!(refused.status, eq(503));
    expect_that!(refused.body, contains_substring("memory_short"));
    let answered = caller::read_to_end(&mut running).await;
    expect_that!(answered.status, eq(200));
    expect_that!(answered.is_complete, eq(true));
    sleep(SETTLED).await;
    record(&node, 90);
    expect_that!(node.send("/once/", "").await.status, eq(200), "level");
    let until = Instant::now() + SETTLED;
    while node.ready().await != 200 {
        assert!(Instant::now() < until, "the node stays out of rotation");
        sleep(Duration::from_millis(20)).await;
    }
}
