//! Peers that answer with stale data while the key-value service is back.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, read_request};
use crate::feed::Service;
use crate::fleet::{Node, register};

/// Number of gateways that watch the key-value service, from which the others fetch.
const WATCHERS: usize = 3;

/// Outage of the service, in which the delays between calls grow to their maximum.
const OUTAGE: Duration = Duration::from_secs(4);

/// Longest time after an outage until a gateway calls the service: its backoff of 1.5 s, then a
/// call to each peer and a delay of 0.4 s after it.
const TURN_LIMIT: Duration = Duration::from_secs(3);

/// Answers each call as a gateway does that has lost the service.
async fn serve_stale(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            while read_request(&mut stream).await.is_some() {
                let text = "HTTP/1.1 503 Any\r\ncontent-length: 0\r\n\r\n";
                let _ = stream.write_all(text.as_bytes()).await;
            }
        });
    }
}

/// Guards against peers that keep the service from its turn: a gateway sent requests to servers that
/// had left until one of its peers was back.
#[gtest]
#[tokio::test]
async fn the_service_gets_its_turn_beside_peers_that_lost_it() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    register(&service, 0, &backend, "ready");
    for index in 0..WATCHERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let peer = format!("{address} 9000 a");
        service.set(&format!("mulberryyoke/gateways/s{index}"), Some(&peer));
        tokio::spawn(serve_stale(listener));
    }
    let node = Node::spawn(&service, "g0").await;
    node.wait_ready().await;
    node.kv.set_failing(true);
    sleep(OUTAGE).await;
    service.set("config", Some("6 other"));
    node.kv.set_failing(false);
    let back_at = Instant::now();
    let key = "Authorization: Bearer other\r\n";
    while node.send("/keyed/", key).await.status != 200 && back_at.elapsed() < 2 * TURN_LIMIT {
        sleep(Duration::from_millis(20)).await;
    }
    expect_that!(back_at.elapsed(), lt(TURN_LIMIT));
}
