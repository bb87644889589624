//! Peers that answer without current data, or not at all, while the key-value service is back.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, read_request};
use crate::feed::{Client, Service};
use crate::fleet::{Node, register};

/// Number of gateways that watch the key-value service, from which the others fetch.
const WATCHERS: usize = 3;

/// Outage of the service.
const OUTAGE: Duration = Duration::from_secs(4);

/// Time within which a change takes effect after the return of the service, and while it answers.
const CHANGE_LIMIT: Duration = Duration::from_secs(1);

/// Time in which changes are made while the peers do not work.
const OBSERVATION: Duration = Duration::from_secs(8);

/// Makes the service fail or hang for a gateway, or answer again.
type Lose = fn(&Client, bool);

/// How a peer that has lost the service answers.
#[derive(Clone, Copy, Debug)]
enum Peer {
    /// At once, that it has no current data.
    Stale,
    /// Never.
    Hangs,
    /// Byte by byte, without an end.
    Trickles,
}

impl Peer {
    async fn answer(self, mut stream: TcpStream) {
        while read_request(&mut stream).await.is_some() {
            let text = "HTTP/1.1 503 Any\r\ncontent-length: 0\r\n\r\n";
            match self {
                Self::Stale => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Self::Hangs => {}
                Self::Trickles => trickle(&mut stream).await,
            }
        }
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.answer(stream));
        }
    }

    /// Registers such a peer, which watches the service.
    async fn register(self, service: &Service, index: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let peer = format!("{address} 9000 a");
        service.set(&format!("mulberryyoke/gateways/s{index}"), Some(&peer));
        tokio::spawn(self.serve(listener));
    }
}

async fn trickle(stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n";
    let mut bytes = head.bytes().chain(std::iter::repeat(0));
    while let Some(byte) = bytes.next()
        && stream.write_all(&[byte]).await.is_ok()
    {
        sleep(Duration::from_millis(2)).await;
    }
}

/// Changes the key and returns how long the node takes to accept it.
async fn change_delay(service: &Service, node: &Node, version: u32) -> Duration {
    service.set("config", Some(&format!("{version} key{version}")));
    let since = Instant::now();
    let key = format!("Authorization: Bearer key{version}\r\n");
    while node.send("/keyed/", &key).await.status != 200 && since.elapsed() < OUTAGE {
        sleep(Duration::from_millis(10)).await;
    }
    since.elapsed()
}

/// Longest time that changes take, made at various moments, while a node's peers do not work.
/// Before them, the service is lost as `lose` does if there is one.
async fn max_change_delay(peers: [Peer; WATCHERS], lose: Option<Lose>) -> Duration {
    let backend = Backend::spawn(Behavior::Answer).await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    register(&service, 0, &backend, "ready");
    for (index, peer) in peers.into_iter().enumerate() {
        peer.register(&service, index).await;
    }
    let node = Node::spawn(&service, "g0").await;
    node.wait_ready().await;
    if let Some(lose) = lose {
        lose(&node.kv, true);
    }
    sleep(OUTAGE).await;
    if let Some(lose) = lose {
        lose(&node.kv, false);
    }
    let since = Instant::now();
    let mut max_delay = Duration::ZERO;
    let mut version = 6;
    while since.elapsed() < OBSERVATION {
        max_delay = max_delay.max(change_delay(&service, &node, version).await);
        sleep(Duration::from_millis(u64::from(130 * (version % 5)))).await;
        version += 1;
    }
    max_delay
}

/// Guards against peers that keep the service from its turn: a gateway sent requests to servers that
/// had left until one of its peers was back.
#[gtest]
#[tokio::test]
async fn the_service_gets_its_turn_beside_peers_that_lost_it() {
    for lose in [Client::set_failing, Client::set_hanging] {
        let delay = max_change_delay([Peer::Stale; WATCHERS], Some(lose)).await;
        expect_that!(delay, lt(CHANGE_LIMIT));
    }
}

/// Guards against calls to peers that hang in place of calls to the service, after its return and
/// every few seconds from then on.
#[gtest]
#[tokio::test]
async fn the_service_is_not_left_for_peers_that_hang() {
    for lose in [None, Some(Client::set_hanging as Lose)] {
        let delay = max_change_delay([Peer::Hangs; WATCHERS], lose).await;
        expect_that!(
            delay,
            lt(CHANGE_LIMIT),
            "after an outage: {}",
            lose.is_some()
        );
    }
}

/// Guards against answers that never end: they keep a gateway from other sources, or make it list
/// every key again.
#[gtest]
#[tokio::test]
async fn the_service_is_not_left_for_peers_that_trickle() {
    let peers = [Peer::Trickles, Peer::Stale, Peer::Hangs];
    let delay = max_change_delay(peers, Some(Client::set_hanging)).await;
    expect_that!(delay, lt(CHANGE_LIMIT));
}

/// Guards against a watcher that waits for a service that hangs before it asks its peers: a change that
/// one of these knows took effect after 1.8 s.
#[gtest]
#[tokio::test]
async fn a_watcher_whose_service_hangs_gets_changes_from_its_peers() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    register(&service, 0, &backend, "ready");
    Peer::Hangs.register(&service, 0).await;
    let node = Node::spawn_with_cpus(&service, "g0", 16.0).await;
    let peer = Node::spawn_with_cpus(&service, "g1", 16.0).await;
    node.wait_ready().await;
    peer.wait_ready().await;
    sleep(Duration::from_secs(1)).await;
    node.kv.set_hanging(true);
    for version in 6..12 {
        let delay = change_delay(&service, &node, version).await;
        expect_that!(delay, lt(CHANGE_LIMIT), "version {version}");
        sleep(Duration::from_millis(u64::from(170 * (version % 4)))).await;
    }
}
