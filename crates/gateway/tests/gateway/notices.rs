//! Servers say of themselves that they leave, and that they want rest.
//!
//! A model server that began to leave while the key-value service was away said so in each of its
//! answers, and got requests from the gateways that had passed these answers on until 12 s later.
//! Four others turned every request away and asked for three seconds of rest, and one gateway
//! sent one of them four requests in that time.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Way};
use crate::fleet::ready;

const LEAVING: &str = "x-leaving: 1\r\n";

/// Time for which servers ask for rest, and the header that says so.
const REST: Duration = Duration::from_millis(2_000);
const RESTING: &str = "x-rest-ms: 2000\r\n";

/// Time after a server asked for rest in which requests that were on their way may reach it.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Requests that may reach a server from then until the end of its rest.
const MOST_IN_REST: usize = 2;

fn came(backend: &Backend) -> usize {
    backend.state.heads().len()
}

#[gtest]
#[tokio::test]
async fn a_server_whose_answer_says_that_it_leaves_gets_nothing_new_in_an_outage() {
    let (leaving, stays) = (
        Backend::spawn(Way::Answer).await,
        Backend::spawn(Way::Answer).await,
    );
    let (_service, node) = ready(&[&leaving, &stays]).await;
    node.way.silence(true);
    leaving.state.turn(Way::Answer, LEAVING);
    while came(&leaving) == 0 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    for _ in 0..10 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    expect_that!(came(&leaving), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_server_that_asks_for_rest_gets_at_most_two_requests_until_it_is_over() {
    let servers = [(); 3].map(|()| Backend::spawn(Way::TurnAway));
    let [a, b, c] = servers;
    let (a, b, c) = (a.await, b.await, c.await);
    let (_service, node) = ready(&[&a, &b, &c]).await;
    for server in [&a, &b, &c] {
        server.state.turn(Way::TurnAway, RESTING);
    }
    let begun = Instant::now();
    while [&a, &b, &c].into_iter().any(|server| came(server) == 0) {
        expect_that!(node.ask("/once/", "").await.status, eq(503));
    }
    let asked = Instant::now();
    sleep(ON_THE_WAY).await;
    let before = [&a, &b, &c].map(came);
    // The first of them asked some time before the last did.
    let end = begun + REST;
    while Instant::now() < end {
        expect_that!(node.ask("/once/", "").await.status, eq(503));
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(asked.duration_since(begun), lt(ON_THE_WAY));
    for (server, before) in [&a, &b, &c].into_iter().zip(before) {
        expect_that!(came(server) - before, le(MOST_IN_REST));
    }
}
