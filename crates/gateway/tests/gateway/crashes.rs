//! Requests that end the servers which run them.
//!
//! One customer's request ended each model server that began to run it, within a tenth of a
//! second, and its caller sent it again and again. Each call tried it on a second server as
//! soon as the first broke off, and forgot with its end what had happened, so that the next
//! call, at the same gateway or another, tried it on two more: 21 servers of a pool of twelve
//! ended under one request, again and again with the streams of everybody else there. What
//! settled it were two lines of one request and the refusals after them, on all gateways:
//!
//! ```text
//! "event":2007,"what":"stream broke off","error":"resuming","server":"i-3fdeca0c65"   95 ms after 1001, attempt 0
//! "event":2007,"what":"stream broke off","error":"","server":"i-0665151f79"          125 ms after 1001, attempt 1
//! "event":2007,"what":"could not connect","error":"Connection refused","server":"i-3fdeca0c65"
//! ```

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::Way;
use crate::caller::{self, Reply};
use crate::feed::Service;
use crate::fleet::Node;
use crate::mortal::{BAD, Mortal, Name, ended};

/// Servers of a fleet: more than one request may end.
const SERVERS: usize = 8;

/// Pause between two repeats of a caller; what one gateway saw is known to all by then.
const PAUSE: Duration = Duration::from_millis(500);

/// Most servers that a request may end which comes one at a time.
const MOST: u32 = 3;

const PROMPT: &str = "x-tokens: 100\r\n";

/// Gateways before servers that a bad request ends.
struct Fleet {
    service: Arc<Service>,
    servers: Vec<Mortal>,
    nodes: Vec<Node>,
}

impl Fleet {
    async fn spawn(name: Name, nodes: usize, way: Way) -> Self {
        let service = Service::new();
        service.set("config", Some("5 secret"));
        let servers = (0..SERVERS).map(|index| Mortal::spawn(&service, index, name, way));
        let servers = join_all(servers).await;
        let nodes = (0..nodes).map(async |index| {
            let node = Node::spawn(&service, &format!("g{index}")).await;
            node.wait_ready().await;
            node
        });
        let nodes = join_all(nodes).await;
        sleep(PAUSE).await;
        Self {
            service,
            servers,
            nodes,
        }
    }

    /// Sends a request to a gateway.
    async fn ask(&self, node: usize, path: &str, body: &str) -> Reply {
        let request = caller::with_body(path, PROMPT, body);
        caller::send(self.nodes[node % self.nodes.len()].callers, &request).await
    }
}

/// The path of a kind of request, and how its servers answer others.
const KINDS: [(&str, Way); 3] = [
    ("/resumable/", Way::Stream),
    ("/idempotent/", Way::Answer),
    ("/once/", Way::Answer),
];

#[gtest]
#[tokio::test]
async fn a_request_that_comes_again_ends_three_servers_at_most() {
    let kinds = KINDS.map(|(path, way)| [Name::New, Name::Same].map(|name| (path, way, name)));
    let cases = kinds.as_flattened().iter().map(async |&(path, way, name)| {
        let fleet = Fleet::spawn(name, 3, way).await;
        for round in 0..8 {
            fleet.ask(round, path, BAD).await;
            sleep(PAUSE).await;
        }
        expect_that!(ended(&fleet.servers), le(MOST), "{path} {name:?}");
        let last = fleet.ask(0, path, BAD).await;
        expect_that!(last.status, eq(502), "{path} {name:?}");
        expect_that!(last.head, not(contains_substring("retry-after")));
        expect_that!(fleet.ask(1, path, "good").await.status, eq(200));
    });
    join_all(cases).await;
}
