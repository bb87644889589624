//! Peers whose answers are cut inside their head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::{StreamExt, stream};
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::SERIAL;
use crate::backend::{Backend, Behavior, read_request};
use crate::feed::Service;
use crate::fleet::{Node, register};
use crate::version_fleet::{Fleet, PROPAGATION};

/// Number of gateways that watch the key-value service, from which the others fetch.
const WATCHERS: usize = 3;

/// Time in which changes are made, their number, and the time within which each takes effect.
const OBSERVATION: Duration = Duration::from_secs(4);
const CHANGES: u32 = 8;
const CHANGE_LIMIT: Duration = Duration::from_secs(2);

/// Number of questions at the same time.
const CONCURRENCY: usize = 16;

const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nmulberryyoke-current-for-ms: 9000\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n",
];

fn cuts() -> impl Iterator<Item = &'static str> + Clone {
    let cuts = HEADS.into_iter();
    cuts.flat_map(|head| (0..head.len()).map(move |sent| &head[..sent]))
}

/// A peer that cuts each answer at another byte. Returns its address and its number of calls.
async fn spawn_peer() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let calls = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&calls);
    tokio::spawn(async move {
        let mut cuts = cuts().cycle();
        while let Ok((mut stream, _)) = listener.accept().await {
            let cut = cuts.next().expect("a cycle");
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                if read_request(&mut stream).await.is_some() {
                    counter.fetch_add(1, Ordering::Relaxed);
                    let _ = stream.write_all(cut.as_bytes()).await;
                }
            });
        }
    });
    (address, calls)
}

#[gtest]
#[tokio::test]
async fn contents_are_neither_lost_nor_late_if_heads_of_peers_are_cut() {
    let _serial = SERIAL.lock().await;
    let backend = Backend::spawn(Behavior::Answer).await;
    let service = Service::new();
    service.set("config", Some("5 secret key5"));
    register(&service, 0, &backend, "ready");
    let mut calls = Vec::new();
    for index in 0..WATCHERS {
        let (address, peer_calls) = spawn_peer().await;
        let registration = format!("{address} 9000 a");
        service.set(
            &format!("mulberryyoke/gateways/s{index}"),
            Some(&registration),
        );
        calls.push(peer_calls);
    }
    let node = Node::spawn(&service, "g0").await;
    node.wait_ready().await;
    for version in 6..6 + CHANGES {
        service.set("config", Some(&format!("{version} secret key{version}")));
        let (since, mut changed) = (Instant::now(), None);
        while since.elapsed() < OBSERVATION / CHANGES || changed.is_none() {
            let response = node
                .send("/keyed/", "Authorization: Bearer secret\r\n")
                .await;
            expect_that!(response.status, eq(200), "{version} {}", response.body);
            let key = format!("Authorization: Bearer key{version}\r\n");
            if changed.is_none() && node.send("/keyed/", &key).await.status == 200 {
                changed = Some(since.elapsed());
            }
            assert!(
                since.elapsed() < 2 * CHANGE_LIMIT,
                "{version} is not in force"
            );
            sleep(Duration::from_millis(10)).await;
        }
        expect_that!(changed, some(lt(CHANGE_LIMIT)), "{version}");
    }
    let calls: usize = calls
        .iter()
        .map(|calls| calls.load(Ordering::Relaxed))
        .sum();
    expect_that!(calls, gt(0));
}

#[gtest]
#[tokio::test]
async fn a_stream_is_not_refused_for_good_if_the_head_of_a_peer_is_cut() {
    let _serial = SERIAL.lock().await;
    let servers = [(Behavior::Stream, "1"), (Behavior::Stream, "2")];
    let fleet = Fleet::spawn(1, &servers).await;
    let (address, calls) = spawn_peer().await;
    let registration = format!("{address} 1000 a");
    let key = "mulberryyoke/gateways/peer";
    fleet.service.set(key, Some(&registration));
    sleep(PROPAGATION).await;
    let questions = (0..cuts().count()).map(async |number| {
        let id = format!("c{number}");
        let response = fleet.resume(0, &id, Some("lost")).await;
        let has_time = response.head.contains("retry-after: ");
        let runs = fleet.version_of(&id);
        let is_sound = response.status == 503 && has_time && runs.is_none();
        (!is_sound).then(|| format!("{response:?}"))
    });
    let questions = stream::iter(questions).buffer_unordered(CONCURRENCY);
    let faults: Vec<String> = questions.filter_map(async |fault| fault).collect().await;
    expect_that!(faults, is_empty());
    expect_that!(calls.load(Ordering::Relaxed), ge(cuts().count()));
}
