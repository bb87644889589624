//! Retries: only requests that are safe to repeat may run more than once.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;

use crate::backend::{Backend, Behavior};
use crate::fleet::ready;
use crate::protocol::OBJECTIVE_MS;

/// Returns the total number of requests that servers received.
fn request_count(backends: &[&Backend]) -> usize {
    backends
        .iter()
        .map(|backend| backend.state.heads().len())
        .sum()
}

#[gtest]
#[tokio::test]
async fn attempts_are_limited_by_the_route() {
    let table = [
        (Behavior::Close, "/once/", 502, 1),
        (Behavior::WrongRequestId, "/once/", 502, 1),
        (Behavior::Truncate, "/once/", 502, 1),
        (Behavior::Fail, "/once/", 500, 1),
        (Behavior::Close, "/idempotent/", 502, 2),
        (Behavior::Truncate, "/idempotent/", 502, 2),
        (Behavior::Fail, "/idempotent/", 500, 2),
    ];
    for (behavior, path, status, attempts) in table {
        let [a, b, c] = [behavior; 3].map(Backend::spawn);
        let (a, b, c) = (a.await, b.await, c.await);
        let (_service, node) = ready(&[&a, &b, &c]).await;
        let response = node.send(path, "").await;
        expect_that!(response.status, eq(status), "{behavior:?} {path}");
        expect_that!(
            request_count(&[&a, &b, &c]),
            eq(attempts),
            "{behavior:?} {path}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn request_that_has_not_run_is_sent_to_another_server() {
    for path in ["/once/", "/idempotent/"] {
        for behavior in [Behavior::Reject, Behavior::WrongServer] {
            let (bad, good) = (
                Backend::spawn(behavior).await,
                Backend::spawn(Behavior::Answer).await,
            );
            let (_service, node) = ready(&[&bad, &good]).await;
            for _ in 0..4 {
                let response = node.send(path, "").await;
                expect_that!(response.status, eq(200), "{behavior:?} {path}");
            }
        }
    }
}

#[gtest]
#[tokio::test]
async fn unreachable_server_is_skipped() {
    let unreachable = Backend {
        address: "127.0.0.1:1".parse().expect("an address"),
        ..Backend::spawn(Behavior::Answer).await
    };
    let good = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&unreachable, &good]).await;
    for _ in 0..4 {
        expect_that!(node.send("/once/", "").await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn stalled_server_is_abandoned_in_time_for_another() {
    let (hanging, good) = (
        Backend::spawn(Behavior::Hang).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (_service, node) = ready(&[&hanging, &good]).await;
    for _ in 0..3 {
        let start = Instant::now();
        expect_that!(node.send("/idempotent/", "").await.status, eq(200));
        expect_that!(
            start.elapsed(),
            lt(Duration::from_millis(OBJECTIVE_MS + 100))
        );
    }
}

#[gtest]
#[tokio::test]
async fn retries_are_limited_by_the_requests_of_the_same_pool() {
    let (bad, other) = (
        Backend::spawn(Behavior::Fail).await,
        Backend::spawn(Behavior::Fail).await,
    );
    let (_service, node) = ready(&[&bad, &other]).await;
    let requests = 100;
    for _ in 0..requests {
        node.send("/stream/", "x-tokens: 10\r\n").await;
        node.send("/idempotent/", "").await;
    }
    let retries = request_count(&[&bad, &other]) - 2 * requests;
    // A gateway uses four fifths of the ratio of 1 and half of the slack of 20.
    expect_that!(
        retries,
        all!(ge(requests * 4 / 5), le(requests * 4 / 5 + 10))
    );
}
