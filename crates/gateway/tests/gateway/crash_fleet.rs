//! A fleet of gateways and crashing servers.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::caller::{self, Response};
use crate::crashing_server::{CrashCounts, CrashingServer, Mode};
use crate::feed::Service;
use crate::fleet::Node;

/// Number of servers, more than a request may crash.
const SERVERS: usize = 8;

/// Delay between retries of a caller, in which the gateways exchange their records.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Maximum crashes by a request that is retried sequentially.
pub(crate) const MAX_CRASHES: u32 = 3;

pub(crate) const PROMPT: &str = "x-tokens: 100\r\n";

/// A fleet of gateways and crashing servers.
pub(crate) struct Fleet {
    pub(crate) service: Arc<Service>,
    pub(crate) servers: Vec<CrashingServer>,
    pub(crate) nodes: Vec<Node>,
}

impl Fleet {
    pub(crate) async fn spawn(mode: impl Into<Mode>, nodes: usize, behavior: Behavior) -> Self {
        let mode = mode.into();
        let service = Service::new();
        service.set("config", Some("5 secret"));
        let crash_counts = CrashCounts::default();
        let servers = (0..SERVERS).map(|index| {
            let (service, crash_counts) = (&service, &crash_counts);
            CrashingServer::spawn(service, index, mode, behavior, crash_counts)
        });
        let servers = servers.collect();
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

    /// Sends a request to the gateway with this index, modulo the number of gateways.
    pub(crate) async fn send(&self, node: usize, path: &str, body: &str) -> Response {
        let request = caller::request_with_body(path, PROMPT, body);
        caller::send(self.nodes[node % self.nodes.len()].callers, &request).await
    }
}
