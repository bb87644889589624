//! Gateways before servers that a bad request ends.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::caller::{self, Response};
use crate::crashing_server::{CrashCounts, CrashingServer, RestartName};
use crate::feed::Service;
use crate::fleet::Node;

/// Servers of a fleet: more than one request may end.
const SERVERS: usize = 8;

/// Pause between two repeats of a caller; what one gateway saw is known to all by then.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Most servers that a request may end which comes one at a time.
pub(crate) const MAX_CRASHES: u32 = 3;

pub(crate) const PROMPT: &str = "x-tokens: 100\r\n";

/// Gateways before servers that a bad request ends.
pub(crate) struct Fleet {
    pub(crate) service: Arc<Service>,
    pub(crate) servers: Vec<CrashingServer>,
    pub(crate) nodes: Vec<Node>,
}

impl Fleet {
    pub(crate) async fn spawn(name: RestartName, nodes: usize, way: Behavior) -> Self {
        let service = Service::new();
        service.set("config", Some("5 secret"));
        let luck = CrashCounts::default();
        let servers = (0..SERVERS).map(|index| {
            let (service, luck) = (&service, &luck);
            CrashingServer::spawn(service, index, name, way, luck)
        });
        let servers = join_all(servers).await;
        let nodes = (0..nodes).map(async |index| {
            let node = Node::spawn(&service, &format!("g{index}")).await;
            node.wait_ready().await;
            node
        });
        let nodes = join_all(nodes).await;
        sleep(RETRY_PAUSE).await;
        Self {
            service,
            servers,
            nodes,
        }
    }

    /// Sends a request to a gateway.
    pub(crate) async fn ask(&self, node: usize, path: &str, body: &str) -> Response {
        let request = caller::request_with_body(path, PROMPT, body);
        caller::send(self.nodes[node % self.nodes.len()].callers, &request).await
    }
}
