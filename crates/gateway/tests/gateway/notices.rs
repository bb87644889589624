//! Servers say of themselves that they leave, and that they want rest.
//!
//! A model server that began to leave while the key-value service was away said so in each of its
//! answers, and got requests from the gateways that had passed these answers on until 12 s later.
//! Only its registration closed a server, and that came 13.1 s after the server had begun to
//! leave: eight requests were routed to it at a `view_age_ms` of 48 to 345, so the configuration
//! was fresh and the registration still said that it was ready.
//!
//! Four others turned every request away and asked for three seconds of rest, and one gateway
//! sent one of them four requests in that time. The time was not read: being turned away was a
//! failure like any other, whose penalty halves each 0.7 s, and a server that turns everything away
//! is idle, so that it was the best choice again. Of 40 lines `turned away` 18 were of repeats that
//! went from one resting server to the next within 10 ms (`unread` 0) while eight others took
//! requests.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, field};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, ready};

/// Time within which a change is in force.
const SOON: Duration = Duration::from_millis(600);

/// Time within which an answer begins that waits for nothing.
const AT_ONCE: Duration = Duration::from_millis(100);

const LEAVING: &str = "x-leaving: 1\r\n";

/// Time for which servers ask for rest, and the header that says so.
const REST: Duration = Duration::from_secs(2);
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
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (_service, node) = ready(&[&leaving, &stays]).await;
    node.kv.set_hanging(true);
    leaving.state.set_behavior(Behavior::Answer, LEAVING);
    while came(&leaving) == 0 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    for _ in 0..10 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    expect_that!(came(&leaving), eq(1));
}

/// Registers the first server of the plain pool as a life that began then.
fn register_life(service: &Service, backend: &Backend, born: u64) {
    let value = format!("plain {} ready {born}", backend.address);
    service.set("servers/plain-0", Some(&value));
}

/// Whether a server is sent requests; each of some that are asked is answered by one or another.
async fn is_used(node: &Node, backend: &Backend) -> bool {
    let before = came(backend);
    for _ in 0..6 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    came(backend) > before
}

#[gtest]
#[tokio::test]
async fn a_server_that_leaves_stays_closed_whatever_is_written_of_its_life_and_the_next_is_open() {
    let (leaving, stays) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&leaving, &stays]).await;
    register_life(&service, &leaving, 5);
    sleep(SOON).await;
    leaving.state.set_behavior(Behavior::Answer, LEAVING);
    expect_that!(is_used(&node, &leaving).await, eq(true));
    leaving.state.set_behavior(Behavior::Answer, "");
    expect_that!(is_used(&node, &leaving).await, eq(false));
    service.back_up();
    register_life(&service, &leaving, 5);
    sleep(SOON).await;
    expect_that!(is_used(&node, &leaving).await, eq(false), "written again");
    service.set("servers/plain-0", None);
    sleep(SOON).await;
    register_life(&service, &leaving, 5);
    sleep(SOON).await;
    expect_that!(is_used(&node, &leaving).await, eq(false), "lapsed and back");
    service.restore();
    sleep(SOON).await;
    expect_that!(is_used(&node, &leaving).await, eq(false), "from a copy");
    register_life(&service, &leaving, 6);
    sleep(SOON).await;
    expect_that!(is_used(&node, &leaving).await, eq(true), "a new life");
}

#[gtest]
#[tokio::test]
async fn a_failure_and_the_head_of_a_stream_say_that_a_server_leaves_as_well() {
    let table = [
        (Behavior::Fail, "/once/", 500),
        (Behavior::Reject, "/once/", 200),
        (Behavior::Truncate, "/once/", 502),
        (Behavior::HangStream, "/resumable/", 200),
    ];
    for (way, path, status) in table {
        let [leaving, stays] = [(); 2].map(|()| Backend::spawn(Behavior::Stream));
        let (leaving, stays) = (leaving.await, stays.await);
        let (_service, node) = ready(&[&leaving, &stays]).await;
        leaving.state.set_behavior(way, LEAVING);
        // Streams that run on are not waited for.
        let mut begun = Vec::new();
        while came(&leaving) == 0 {
            let request = caller::request(path, "x-tokens: 10\r\n");
            begun.push(caller::open(node.callers, &request).await);
            sleep(AT_ONCE).await;
        }
        let last = begun.pop().expect("a request");
        let mut head = [0; 64];
        let read = last.peek(&mut head).await.expect("an answer begins");
        expect_that!(caller::parse(&head[..read]).status, eq(status), "{way:?}");
        let before = came(&leaving);
        for _ in 0..4 {
            expect_that!(node.ask(path, "x-tokens: 10\r\n").await.status, eq(200));
        }
        expect_that!(came(&leaving), eq(before), "{way:?}");
    }
}

#[gtest]
#[tokio::test]
async fn an_answer_that_may_be_another_servers_closes_nobody() {
    for way in [Behavior::WrongRequestId, Behavior::Unsealed] {
        let (first, second) = (Backend::spawn(way).await, Backend::spawn(way).await);
        let (_service, node) = ready(&[&first, &second]).await;
        for server in [&first, &second] {
            server.state.set_behavior(way, LEAVING);
        }
        for _ in 0..4 {
            expect_that!(node.ask("/once/", "").await.status, eq(502), "{way:?}");
        }
        for server in [&first, &second] {
            server.state.set_behavior(Behavior::Answer, "");
        }
        sleep(SOON).await;
        expect_that!(node.ask("/once/", "").await.status, eq(200), "{way:?}");
    }
}

#[gtest]
#[tokio::test]
async fn where_all_servers_leave_a_request_is_refused_at_once() {
    let (first, second) = (
        Backend::spawn(Behavior::Answer).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (_service, node) = ready(&[&first, &second]).await;
    for server in [&first, &second] {
        server.state.set_behavior(Behavior::Answer, LEAVING);
    }
    let statuses = [node.ask("/once/", "").await, node.ask("/once/", "").await];
    expect_that!(statuses.map(|reply| reply.status), eq([200, 200]));
    let begun = Instant::now();
    let reply = node.ask("/once/", "").await;
    expect_that!(reply.status, eq(503));
    expect_that!(reply.head, contains_substring("retry-after"));
    expect_that!(begun.elapsed(), lt(AT_ONCE));
    expect_that!((came(&first), came(&second)), eq((1, 1)));
}

#[gtest]
#[tokio::test]
async fn a_server_that_asks_for_rest_gets_at_most_two_requests_until_it_is_over() {
    let servers = [(); 3].map(|()| Backend::spawn(Behavior::Reject));
    let [a, b, c] = servers;
    let (a, b, c) = (a.await, b.await, c.await);
    let (_service, node) = ready(&[&a, &b, &c]).await;
    for server in [&a, &b, &c] {
        server.state.set_behavior(Behavior::Reject, RESTING);
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

#[gtest]
#[tokio::test]
async fn where_all_servers_rest_a_request_is_refused_at_once_with_the_time_until_the_first_does_not()
 {
    let (first, second) = (
        Backend::spawn(Behavior::Reject).await,
        Backend::spawn(Behavior::Reject).await,
    );
    let (_service, node) = ready(&[&first, &second]).await;
    first
        .state
        .set_behavior(Behavior::Reject, "x-rest-ms: 9000\r\n");
    second.state.set_behavior(Behavior::Reject, RESTING);
    // The first to be refused has met both of them.
    for _ in 0..3 {
        let begun = Instant::now();
        let reply = node.ask("/once/", "").await;
        expect_that!(begun.elapsed(), lt(AT_ONCE));
        expect_that!(reply.status, eq(503));
        expect_that!(reply.body, contains_substring("resting"));
        let after = field(&reply.head, "retry-after").expect("a time to come back");
        let after: f64 = after.parse().expect("seconds");
        expect_that!(after, all!(gt(1.8), le(4.5)));
    }
    expect_that!((came(&first), came(&second)), eq((1, 1)));
}

#[gtest]
#[tokio::test]
async fn after_a_rest_requests_are_tried_one_at_a_time_until_one_is_answered() {
    let server = Backend::spawn(Behavior::Reject).await;
    let (_service, node) = ready(&[&server]).await;
    server
        .state
        .set_behavior(Behavior::Reject, "x-rest-ms: 300\r\n");
    expect_that!(node.ask("/once/", "").await.status, eq(503));
    server.state.set_behavior(Behavior::Hang, "");
    sleep(Duration::from_millis(350)).await;
    let mut waiting = Vec::new();
    for _ in 0..10 {
        let request = caller::request("/once/", "");
        waiting.push(caller::open(node.callers, &request).await);
    }
    sleep(AT_ONCE).await;
    expect_that!(
        came(&server),
        eq(2),
        "the one that asked for rest for it, and one more"
    );
    server.state.set_behavior(Behavior::Answer, "");
    sleep(Duration::from_millis(500)).await;
    for _ in 0..10 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
}

#[gtest]
#[tokio::test]
async fn a_rest_belongs_to_one_life() {
    let (resting, free) = (
        Backend::spawn(Behavior::Reject).await,
        Backend::spawn(Behavior::Answer).await,
    );
    let (service, node) = ready(&[&resting, &free]).await;
    register_life(&service, &resting, 5);
    sleep(SOON).await;
    resting
        .state
        .set_behavior(Behavior::Reject, "x-rest-ms: 60000\r\n");
    while came(&resting) == 0 {
        expect_that!(node.ask("/once/", "").await.status, eq(200));
    }
    resting.state.set_behavior(Behavior::Answer, "");
    // What is held against it for its failure has faded.
    sleep(Duration::from_secs(4)).await;
    expect_that!(is_used(&node, &resting).await, eq(false));
    service.set("servers/plain-0", None);
    sleep(SOON).await;
    register_life(&service, &resting, 5);
    sleep(SOON).await;
    expect_that!(is_used(&node, &resting).await, eq(false), "lapsed and back");
    register_life(&service, &resting, 6);
    sleep(SOON).await;
    expect_that!(is_used(&node, &resting).await, eq(true), "a new life");
}
