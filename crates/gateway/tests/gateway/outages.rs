//! Retry times while no server of a pool can be used.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, field};
use crate::fleet::{Node, ready, register};
use crate::protocol::TIMEOUT_MS;

/// Sends a request that is refused, and returns its retry time in milliseconds.
async fn refused(node: &Node) -> f64 {
    let response = node.send("/stream/", "x-tokens: 100\r\n").await;
    expect_that!(response.status, eq(503));
    expect_that!(response.body, contains_substring("no_server"));
    let after = field(&response.head, "retry-after").expect("a retry time");
    after.parse::<f64>().expect("seconds") * 1_000.0
}

#[gtest]
#[tokio::test]
async fn the_retry_time_grows_during_an_outage_and_is_short_after_it() {
    let backend = Backend::spawn(Behavior::Stream).await;
    let (service, node) = ready(&[&backend]).await;
    service.set("servers/model-0", None);
    sleep(Duration::from_millis(300)).await;
    expect_that!(refused(&node).await, all![ge(200.0), le(300.0)]);
    sleep(Duration::from_millis(1_500)).await;
    // Half of 1.5 s is longer than a third of the time that the caller has left.
    let longest = 500.0;
    expect_that!(TIMEOUT_MS, eq(1_500));
    let times = [
        refused(&node).await,
        refused(&node).await,
        refused(&node).await,
    ];
    for time in times {
        expect_that!(time, all![ge(longest / 1.5 - 10.0), le(longest)]);
    }
    let came_back = Instant::now();
    register(&service, 0, &backend, "ready");
    while node.send("/stream/", "x-tokens: 100\r\n").await.status != 200 {
        assert!(came_back.elapsed() < Duration::from_secs(5), "never served");
        sleep(Duration::from_millis(20)).await;
    }
    expect_that!(came_back.elapsed(), lt(Duration::from_secs(1)));
    sleep(Duration::from_millis(50)).await;
    service.set("servers/model-0", None);
    sleep(Duration::from_millis(300)).await;
    expect_that!(
        refused(&node).await,
        le(300.0),
        "the earlier outage no longer counts"
    );
}
