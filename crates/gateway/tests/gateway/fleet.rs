//! Gateways under test and their key-value clients.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::slog::{Discard, Logger, o};
use mulberryyoke_gateway::{Error, Gateway};
use mulberryyoke_settings as settings;
use tokio::time::{Instant, sleep};

use crate::backend::Backend;
use crate::caller::{self, Response};
use crate::feed::{Client, Service};
use crate::protocol::TestProtocol;

/// Configuration age from which requests with a key are refused, in milliseconds.
pub(crate) const KEYS_FRESH_MS: u64 = 4_000;

/// Requests per second that a cold server may get beyond its configured rate.
pub(crate) const COLD_SLACK: f64 = 2.0;

/// Maximum number of attempts to start a gateway on free addresses.
const MAX_ATTEMPTS: u32 = 10;

/// A gateway and its client of the key-value service.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) gateway: Option<Gateway>,
    pub(crate) callers: SocketAddr,
    pub(crate) health: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) kv: Arc<Client>,
}

impl Node {
    /// Starts a gateway without waiting for its configuration.
    pub(crate) async fn spawn(service: &Arc<Service>, name: &str) -> Self {
        Self::spawn_with_cpus(service, name, 1.0).await
    }

    /// As [`Node::spawn`], with this number of CPUs.
    pub(crate) async fn spawn_with_cpus(service: &Arc<Service>, name: &str, cpus: f64) -> Self {
        Self::spawn_with(service, name, cpus, None).await
    }

    /// As [`Node::spawn`], with this number of CPUs and this much memory, in megabytes.
    pub(crate) async fn spawn_with(
        service: &Arc<Service>,
        name: &str,
        cpus: f64,
        memory_mb: Option<u64>,
    ) -> Self {
        // Another test may bind an address before the gateway does.
        for _ in 0..MAX_ATTEMPTS {
            if let Some(node) = Self::try_spawn(service, name, cpus, memory_mb).await {
                return node;
            }
        }
        panic!("the gateway found no free addresses");
    }

    async fn try_spawn(
        service: &Arc<Service>,
        name: &str,
        cpus: f64,
        memory_mb: Option<u64>,
    ) -> Option<Self> {
        let kv = Client::new(service);
        let [callers, health, control, handoff, store] = [(); 5].map(|()| free_address());
        let settings = settings::Gateway {
            name: name.to_owned(),
            zone: "a".to_owned(),
            callers,
            health,
            control,
            store,
            handoff: Some(handoff),
            keys_fresh_ms: Some(KEYS_FRESH_MS),
            grace_ms: 6_000,
            retry_ratio: 1.0,
            retry_slack: 20.0,
            cold_overage: 1.0,
            cold_slack: COLD_SLACK,
            processors: cpus,
            descriptors: 1_024,
            memory_mb,
            kv_writes_per_s: Some(400.0),
        };
        let logger = Logger::root(Discard, o!());
        let feed = Arc::clone(&kv);
        let protocol = TestProtocol {
            gateway: name.to_owned(),
        };
        let gateway = Gateway::spawn(settings, Arc::new(protocol), feed, logger).await;
        let gateway = match gateway {
            Ok(gateway) => gateway,
            Err(Error::Bind { .. }) => return None,
        };
        Some(Self {
            gateway: Some(gateway),
            callers,
            health,
            control,
            kv,
        })
    }

    /// Sends a request.
    pub(crate) async fn send(&self, path: &str, header_lines: &str) -> Response {
        caller::send(self.callers, &caller::request(path, header_lines)).await
    }

    /// Status of the readiness check.
    pub(crate) async fn ready(&self) -> u16 {
        let request = "GET /any HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        caller::send(self.health, request).await.status
    }

    /// Metrics of the process, which all tests of a binary share.
    pub(crate) async fn metrics(&self) -> String {
        let request = "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        caller::send(self.control, request).await.body
    }

    /// Waits until the gateway is ready.
    pub(crate) async fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(8);
        while self.ready().await != 200 {
            assert!(Instant::now() < until, "the gateway did not become ready");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A ready gateway with a configuration and these servers in both pools.
pub(crate) async fn ready(backends: &[&Backend]) -> (Arc<Service>, Node) {
    ready_with(backends, None).await
}

/// As [`ready`], with this much memory, in megabytes.
pub(crate) async fn ready_with(
    backends: &[&Backend],
    memory_mb: Option<u64>,
) -> (Arc<Service>, Node) {
    let addresses: Vec<SocketAddr> = backends.iter().map(|backend| backend.address).collect();
    ready_at(&addresses, memory_mb).await
}

/// As [`ready_with`], with servers at these addresses.
pub(crate) async fn ready_at(
    addresses: &[SocketAddr],
    memory_mb: Option<u64>,
) -> (Arc<Service>, Node) {
    ready_under("5 secret", addresses, memory_mb).await
}

/// As [`ready_at`], with bodies of up to this size, and time to send them.
pub(crate) async fn ready_for_uploads(
    addresses: &[SocketAddr],
    max_body_bytes: usize,
) -> (Arc<Service>, Node) {
    let config = format!("5 secret body={max_body_bytes} timeout=6000");
    ready_under(&config, addresses, None).await
}

async fn ready_under(
    config: &str,
    addresses: &[SocketAddr],
    memory_mb: Option<u64>,
) -> (Arc<Service>, Node) {
    let service = Service::new();
    service.set("config", Some(config));
    for (index, address) in addresses.iter().enumerate() {
        register_address(&service, index, *address, "ready");
    }
    let node = Node::spawn_with(&service, "g0", 1.0, memory_mb).await;
    node.wait_ready().await;
    (service, node)
}

/// Registers a server in both pools.
pub(crate) fn register(service: &Service, index: usize, backend: &Backend, state: &str) {
    register_address(service, index, backend.address, state);
}

/// Registers a server at this address in both pools.
pub(crate) fn register_address(service: &Service, index: usize, address: SocketAddr, state: &str) {
    for pool in ["plain", "model"] {
        let key = format!("servers/{pool}-{index}");
        let value = format!("{pool} {address} {state}");
        service.set(&key, Some(&value));
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}
