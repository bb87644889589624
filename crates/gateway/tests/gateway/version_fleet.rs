//! Gateways before model servers of several versions, and a peer that counts messages.

use std::collections::HashSet;
use std::mem;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_decide::stream::Origin;
use mulberryyoke_wire::stream::is_marked;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use crate::backend::{Backend, Behavior, field, read_request};
use crate::caller::{self, Response};
use crate::feed::Service;
use crate::fleet::Node;

/// Number of streams that are resumed, more than there are servers.
pub(crate) const STREAMS: usize = 8;

/// Time for a change to reach every gateway.
pub(crate) const PROPAGATION: Duration = Duration::from_millis(600);

/// Number of threads of a gateway.
const WORKERS: usize = 2;

/// Gateways, and model servers of several versions.
pub(crate) struct Fleet {
    pub(crate) service: Arc<Service>,
    pub(crate) nodes: Vec<Node>,
    /// Runtime of each gateway, which ends with it.
    runtimes: Vec<Runtime>,
    pub(crate) servers: Vec<(Backend, &'static str)>,
}

impl Fleet {
    pub(crate) async fn spawn(nodes: usize, servers: &[(Behavior, &'static str)]) -> Self {
        let service = Service::new();
        service.set("config", Some("5 secret"));
        let servers = servers.iter().map(async |&(behavior, version)| {
            let backend = Backend::spawn(behavior).await;
            (backend, version)
        });
        let servers = join_all(servers).await;
        for (index, (backend, version)) in servers.iter().enumerate() {
            register(&service, index, backend, version);
        }
        let mut fleet = Self {
            service,
            nodes: Vec::new(),
            runtimes: Vec::new(),
            servers,
        };
        for index in 0..nodes {
            let (runtime, node) = start(&fleet.service, index).await;
            fleet.runtimes.push(runtime);
            fleet.nodes.push(node);
        }
        fleet.wait_ready().await;
        sleep(PROPAGATION).await;
        fleet
    }

    /// Waits until all gateways are ready.
    pub(crate) async fn wait_ready(&self) {
        for node in &self.nodes {
            node.wait_ready().await;
        }
    }

    /// Kills the first gateway.
    pub(crate) fn kill_first(&mut self) {
        self.kill(0);
    }

    /// Kills a gateway.
    pub(crate) fn kill(&mut self, node: usize) {
        let ended = mem::replace(&mut self.runtimes[node], runtime());
        ended.shutdown_background();
    }

    /// Starts a killed gateway again, without waiting until it is ready.
    pub(crate) async fn start(&mut self, node: usize) {
        let (runtime, started) = start(&self.service, node).await;
        mem::replace(&mut self.runtimes[node], runtime).shutdown_background();
        self.nodes[node] = started;
    }

    /// Starts a server of a version, and registers it.
    pub(crate) async fn add_server(&mut self, behavior: Behavior, version: &'static str) {
        let backend = Backend::spawn(behavior).await;
        register(&self.service, self.servers.len(), &backend, version);
        self.servers.push((backend, version));
    }

    /// Removes the registrations of the servers of a version.
    pub(crate) fn remove_servers(&self, version: &str) {
        for (index, (_, other)) in self.servers.iter().enumerate() {
            if *other == version {
                self.service.set(&format!("servers/model-{index}"), None);
            }
        }
    }

    /// Registers the servers of a version again.
    pub(crate) fn return_servers(&self, version: &str) {
        for (index, (backend, other)) in self.servers.iter().enumerate() {
            if *other == version {
                register(&self.service, index, backend, version);
            }
        }
    }

    /// Version of the server that ran the request with an ID; `None` if none did.
    pub(crate) fn version_of(&self, id: &str) -> Option<&'static str> {
        let ran = |head: &String| field(head, "x-id") == Some(id);
        let mut servers = self.servers.iter();
        let (_, version) = servers.find(|(backend, _)| backend.state.heads().iter().any(ran))?;
        Some(version)
    }

    /// Begins a stream, and ends its connection after the second event.
    pub(crate) async fn begin(&self, node: usize, id: &str) {
        let text = request(id, "");
        let mut stream = caller::open(self.nodes[node].callers, &text).await;
        read_until(&mut stream, "id: 2").await;
    }

    /// Resumes a stream after its second event.
    pub(crate) async fn resume(&self, node: usize, id: &str, first: Option<&str>) -> Response {
        let resumes = first.map_or(String::new(), |first| {
            format!("x-first-attempt: {first}\r\n")
        });
        let text = request(id, &format!("x-after: 2\r\n{resumes}"));
        caller::send(self.nodes[node].callers, &text).await
    }

    /// Begins streams at the first gateway, resumes them at another, and expects that each goes on
    /// at its version. `between` runs in between.
    pub(crate) async fn expect_resumes(
        &mut self,
        name: &str,
        between: impl AsyncFnOnce(&mut Self),
    ) {
        let ids = (0..STREAMS).map(|index| (format!("{name}a{index}"), format!("{name}b{index}")));
        let ids: Vec<(String, String)> = ids.collect();
        join_all(ids.iter().map(|(first, _)| self.begin(0, first))).await;
        between(self).await;
        let resumed = ids.iter().enumerate().map(|(index, (first, next))| {
            let node = 1 + index % (self.nodes.len() - 1);
            self.resume(node, next, Some(first))
        });
        for (response, (first, next)) in join_all(resumed).await.into_iter().zip(&ids) {
            let result = (response.status, response.is_complete);
            expect_that!(result, eq((200, true)), "{name} {next}: {}", response.body);
            let version = self.version_of(first);
            expect_that!(self.version_of(next), eq(version), "{name} {next}");
        }
    }
}

fn runtime() -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(WORKERS).enable_all();
    builder.build().expect("a runtime")
}

/// Starts a gateway in a runtime of its own.
async fn start(service: &Arc<Service>, node: usize) -> (Runtime, Node) {
    let (service, runtime) = (Arc::clone(service), runtime());
    let node = runtime.spawn(async move { Node::spawn(&service, &format!("g{node}")).await });
    (runtime, node.await.expect("no panic"))
}

pub(crate) fn register(service: &Service, index: usize, backend: &Backend, version: &str) {
    let value = format!("model {} ready version={version}", backend.address);
    service.set(&format!("servers/model-{index}"), Some(&value));
}

pub(crate) fn request(id: &str, header_lines: &str) -> String {
    format!(
        "POST /resumable/ HTTP/1.1\r\nHost: host.example\r\nx-id: {id}\r\nx-tokens: 100\r\n\
         Connection: close\r\n{header_lines}Content-Length: 2\r\n\r\nhi"
    )
}

pub(crate) async fn read_until(stream: &mut TcpStream, text: &str) {
    let mut received = String::new();
    let mut buffer = [0; 1_024];
    while !received.contains(text) {
        let read = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await;
        let length = read
            .expect("events arrive")
            .expect("the connection is open");
        assert!(length > 0, "the stream ended after {received:?}");
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

/// Streams that a peer was asked for, as they were sent.
type Asked = Mutex<HashSet<Vec<u8>>>;

/// A peer that counts what it is told and asked, and answers nothing.
pub(crate) struct Peer {
    address: SocketAddr,
    told: Arc<AtomicU32>,
    asked: Arc<Asked>,
}

impl Peer {
    pub(crate) async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let socket = UdpSocket::bind(address).await.expect("the same port");
        let (told, asked) = (Arc::<AtomicU32>::default(), Arc::<Asked>::default());
        let counter = Arc::clone(&told);
        tokio::spawn(async move {
            let mut buffer = [0; 2_000];
            while let Ok(length) = socket.recv(&mut buffer).await {
                counter.fetch_add(u32::from(is_marked(&buffer[..length])), Ordering::Relaxed);
            }
        });
        let counter = Arc::clone(&asked);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counter = Arc::clone(&counter);
                tokio::spawn(async move {
                    let request = read_request(&mut stream).await;
                    if let Some((head, stream)) = request
                        && head.starts_with("post /streams/")
                    {
                        counter.lock().expect("no panic").insert(stream);
                    }
                });
            }
        });
        Self {
            address,
            told,
            asked,
        }
    }

    pub(crate) fn registration(&self) -> String {
        format!("{} 1000 a", self.address)
    }

    /// Spawns a peer that answers questions after a delay, with the same origin each time.
    pub(crate) async fn spawn_answering(origin: Option<Origin>, delay: Duration) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let body = postcard::to_stdvec(&origin).expect("it is encoded");
        Self::answer(listener, "200 OK", body, delay);
        address
    }

    /// Spawns a peer that answers questions with this status and body.
    pub(crate) async fn spawn_failing(status: &'static str, body: &[u8]) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        Self::answer(listener, status, body.to_vec(), Duration::ZERO);
        address
    }

    fn answer(listener: TcpListener, status: &'static str, body: Vec<u8>, delay: Duration) {
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let body = body.clone();
                tokio::spawn(async move {
                    while read_request(&mut stream).await.is_some() {
                        sleep(delay).await;
                        let length = body.len();
                        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
                        let response = [head.as_bytes(), &body].concat();
                        if stream.write_all(&response).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// Number of packets with origins, and of streams asked for.
    pub(crate) fn counts(&self) -> (u32, usize) {
        let asked = self.asked.lock().expect("no panic").len();
        (self.told.load(Ordering::Relaxed), asked)
    }
}
