//! Contents that a gateway relays to its peers, and the bounds of what it keeps for them.

use googletest::prelude::*;
use mulberryyoke_wire::relay::{Batch, Write};
use tokio::io::AsyncReadExt;
use tokio::time::{Duration, Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, ready_with, register};

/// Memory of the gateways, in megabytes: the relayed contents take a tenth of it at most.
const MEMORY_MB: u64 = 10;

/// More writes than a gateway kept when it kept each of them.
const WRITES: u64 = 700;

/// Size of a large value, in bytes.
const LARGE_BYTES: usize = 400_000;

/// Memory of a gateway whose contents exceed the buffers of a connection, in megabytes.
const LARGE_MEMORY_MB: u64 = 60;

/// Number of large values of these contents, and of peers that do not take them.
const LARGE_VALUES: usize = 12;
const STALLED_PEERS: usize = 4;

/// Timeout for a gateway to relay a write.
const RELAY_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls a gateway as a peer does; the status and the decoded batch.
async fn call(node: &Node, path: &str) -> (u16, Option<Batch>) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let mut stream = caller::open(node.control, &request).await;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    read.expect("the gateway closes the connection");
    let status = caller::parse(&bytes).status;
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
    let body = &bytes[head.expect("a response") + 4..];
    (status, Batch::decode(body).filter(|_| status == 200))
}

async fn changes(node: &Node, after: u64) -> (u16, Option<Batch>) {
    call(
        node,
        &format!("/relay/changes?era=0&after={after}&wait_ms=0"),
    )
    .await
}

/// Waits until a gateway relays the latest write, and returns what it relays after `after`.
async fn caught_up(node: &Node, service: &Service, after: u64) -> (u16, Vec<Write>) {
    let until = Instant::now() + RELAY_TIMEOUT;
    loop {
        assert!(Instant::now() < until, "the latest write is not relayed");
        let (status, batch) = changes(node, after).await;
        let batch = batch.unwrap_or_default();
        if status != 200 || batch.revision >= service.revision() {
            return (status, batch.writes);
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a history that ends after a number of writes, whatever they write.
#[gtest]
#[tokio::test]
async fn a_peer_skips_to_the_latest_write_of_each_key() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
    let before = service.revision();
    for write in 0..WRITES {
        service.set("notes/changed", Some(&write.to_string()));
        if write == WRITES / 2 {
            service.set("notes/gone", Some("here"));
            service.set("notes/gone", None);
        }
    }
    let (status, writes) = caught_up(&node, &service, before).await;
    expect_that!(status, eq(200));
    let of = |key: &str| {
        let writes = writes.iter().filter(|write| write.key == key);
        writes.collect::<Vec<&Write>>()
    };
    let changed = of("notes/changed");
    let last = (WRITES - 1).to_string();
    expect_that!(changed.len(), eq(1));
    expect_that!(changed[0].value.as_deref(), some(eq(last.as_bytes())));
    let gone = of("notes/gone");
    expect_that!(gone.len(), eq(1));
    expect_that!(gone[0].value, none());
    let revisions: Vec<u64> = writes.iter().map(|write| write.revision).collect();
    expect_that!(revisions.is_sorted(), eq(true));
}

/// Guards against a history of deletions that grows with the number of keys.
#[gtest]
#[tokio::test]
async fn deletions_are_bounded_and_a_peer_that_is_behind_them_lists() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
    let before = service.revision();
    for write in 0..WRITES {
        let key = format!("notes/{write}-{}", "x".repeat(100));
        service.set(&key, Some("here"));
        service.set(&key, None);
    }
    let (status, _) = caught_up(&node, &service, before).await;
    expect_that!(status, eq(410));
    let (status, listing) = call(&node, "/relay/list").await;
    expect_that!(status, eq(200));
    let listed = listing.expect("a listing").writes;
    expect_that!(listed.iter().all(|write| write.value.is_some()), eq(true));
    expect_that!(listed.iter().any(|write| write.key == "config"), eq(true));
}

/// Guards against a copy of the contents that is larger than its part of the memory.
#[gtest]
#[tokio::test]
async fn contents_that_outgrow_the_memory_are_not_kept_and_requests_are_served() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready_with(&[&backend], Some(MEMORY_MB)).await;
    let large = "x".repeat(LARGE_BYTES);
    for index in 0..3 {
        service.set(&format!("notes/{index}"), Some(&large));
    }
    let until = Instant::now() + RELAY_TIMEOUT;
    while call(&node, "/relay/list").await.0 != 410 {
        assert!(Instant::now() < until, "the copy was not dropped");
        sleep(Duration::from_millis(20)).await;
    }
    register(&service, 1, &backend, "ready");
    let response = node.send("/once/", "").await;
    expect_that!(response.status, eq(200));
}

/// Changes all large values and waits until the gateway has them.
async fn write_large_values(node: &Node, service: &Service, fill: &str) {
    let before = service.revision();
    let large = fill.repeat(LARGE_BYTES);
    for index in 0..LARGE_VALUES {
        service.set(&format!("notes/{index}"), Some(&large));
    }
    caught_up(node, service, before).await;
}

/// Guards against answers that peers do not take, each with superseded values of its own.
#[gtest]
#[tokio::test]
async fn peers_are_refused_while_others_hold_too_many_superseded_values() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready_with(&[&backend], Some(LARGE_MEMORY_MB)).await;
    let request = "GET /relay/list HTTP/1.1\r\nHost: h\r\n\r\n";
    let mut stalled = Vec::new();
    for index in 0..STALLED_PEERS {
        write_large_values(&node, &service, &index.to_string()).await;
        stalled.push(caller::open_slow(node.control, request).await);
    }
    write_large_values(&node, &service, "x").await;
    expect_that!(call(&node, "/relay/list").await.0, eq(429));
    drop(stalled);
    let until = Instant::now() + RELAY_TIMEOUT;
    while call(&node, "/relay/list").await.0 != 200 {
        assert!(Instant::now() < until, "the memory is not given back");
        sleep(Duration::from_millis(20)).await;
    }
}
