//! A lagging peer returns an outdated listing while the key-value service hangs.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use mulberryyoke_wire::relay::{Batch, Write};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::backend::{Backend, Behavior, read_request};
use crate::feed::Service;
use crate::fleet::{Node, register};

/// Number of gateways that watch the key-value service, from which the others fetch.
const WATCHERS: usize = 3;

/// Time in which a gateway fetches from them a dozen times.
const DURATION: Duration = Duration::from_secs(2);

/// Serves this listing, like a gateway whose history is compacted.
async fn serve(listener: TcpListener, listing: Vec<u8>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let listing = listing.clone();
        tokio::spawn(async move {
            while let Some((head, _)) = read_request(&mut stream).await {
                let (status, body) = if head.starts_with("get /relay/list ") {
                    (200, listing.as_slice())
                } else {
                    (410, &[][..])
                };
                let length = body.len();
                let text = format!("HTTP/1.1 {status} Any\r\ncontent-length: {length}\r\n\r\n");
                let _ = stream.write_all(text.as_bytes()).await;
                let _ = stream.write_all(body).await;
            }
        });
    }
}

#[gtest]
#[tokio::test]
async fn a_listing_from_a_lagging_peer_removes_no_server() {
    let backend = Backend::spawn(Behavior::Answer).await;
    let service = Service::new();
    service.set("config", Some("5 secret"));
    let revision = service.revision();
    let listing = Batch {
        known_ms: 0,
        revision,
        writes: vec![Write {
            key: "config".to_owned(),
            value: Some(Bytes::from("5 secret")),
            revision,
        }],
        era: 0,
    };
    for index in 0..WATCHERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let peer = format!("{address} 9000 a");
        service.set(&format!("mulberryyoke/gateways/s{index}"), Some(&peer));
        let known = Batch::encode_known_ms(listing.known_ms);
        let encoded = [known, listing.encode().chunks.concat().into()].concat();
        tokio::spawn(serve(listener, encoded));
    }
    register(&service, 0, &backend, "ready");
    let node = Node::spawn(&service, "g0").await;
    node.wait_ready().await;
    node.kv.set_hanging(true);
    let until = Instant::now() + DURATION;
    let mut status = 200;
    while Instant::now() < until && status == 200 {
        status = node.send("/once/", "").await.status;
    }
    expect_that!(status, eq(200));
}
