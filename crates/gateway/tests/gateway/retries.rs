//! What may run more than once is tried again; what may not never is.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;

use crate::backend::{Backend, Behavior};
use crate::fleet::ready;
use crate::protocol::OBJECTIVE_MS;

/// Requests that came to servers, in total.
fn came(backends: &[&Backend]) -> usize {
    backends
        .iter()
        .map(|backend| backend.state.heads().len())
        .sum()
}

#[gtest]
#[tokio::test]
async fn a_request_runs_on_as_many_servers_as_its_route_allows() {
    let table = [
        (Behavior::Close, "/once/", 502, 1),
        (Behavior::WrongRequestId, "/once/", 502, 1),
        (Behavior::Truncate, "/once/", 502, 1),
        (Behavior::Fail, "/once/", 500, 1),
        (Behavior::Close, "/idempotent/", 502, 2),
        (Behavior::Truncate, "/idempotent/", 502, 2),
        (Behavior::Fail, "/idempotent/", 500, 2),
    ];
    for (way, path, status, most) in table {
        let [a, b, c] = [way; 3].map(Backend::spawn);
        let (a, b, c) = (a.await, b.await, c.await);
        let (_service, node) = ready(&[&a, &b, &c]).await;
        let reply = node.ask(path, "").await;
        expect_that!(reply.status, eq(status), "{way:?} {path}");
        expect_that!(came(&[&a, &b, &c]), eq(most), "{way:?} {path}");
    }
}

#[gtest]
#[tokio::test]
async fn what_a_server_has_not_run_goes_to_another() {
    for path in ["/once/", "/idempotent/"] {
        for way in [Behavior::Reject, Behavior::WrongServer] {
            let (bad, good) = (
                Backend::spawn(way).await,
                Backend::spawn(Behavior::Answer).await,
            );
            let (_service, node) = ready(&[&bad, &good]).await;
            for _ in 0..4 {
                let reply = node.ask(path, "").await;
                expect_that!(reply.status, eq(200), "{way:?} {path}");
            }
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_server_that_cannot_be_reached_is_passed_over() {
    let gone = Backend {
        address: "127.0.0.1:1".parse().expect("an address"),
        ..Backend::spawn(Behavior::Answer).await
    };
    let good = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready(&[&gone, &good]).await;
    for _ in 0..4 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn a_silent_server_is_given_up_in_time_for_another() {
    let (silent, good) = (
        Backend::spawn(Behavior::Hang).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (_service, node) = ready(&[&silent, &good]).await;
    for _ in 0..3 {
        let begun = Instant::now();
        expect_that!(node.ask("/idempotent/", "").await.status, eq(200));
        expect_that!(
            begun.elapsed(),
            lt(Duration::from_millis(OBJECTIVE_MS + 100))
        );
    }
}

#[gtest]
#[tokio::test]
async fn retries_are_bounded_by_the_requests_of_their_own_pool() {
    let (bad, other) = (
        Backend::spawn(Behavior::Fail).await,
        Backend::spawn(Behavior::Fail).await,
    );
    let (_service, node) = ready(&[&bad, &other]).await;
    let requests = 100;
    for _ in 0..requests {
        node.ask("/stream/", "x-tokens: 10\r\n").await;
        node.ask("/idempotent/", "").await;
    }
    let again = came(&[&bad, &other]) - 2 * requests;
    // Four fifths of the ratio of 1, and half of the slack of 20.
    expect_that!(again, all!(ge(requests * 4 / 5), le(requests * 4 / 5 + 10)));
}
