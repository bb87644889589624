//! Streams go on only on servers of the software version that began them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_wire::stream::is_marked;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::Runtime;
use tokio::time::{sleep, timeout};

use crate::backend::{Backend, Behavior, field, read_request};
use crate::caller::{self, Response};
use crate::feed::Service;
use crate::fleet::Node;

/// Number of streams that are resumed, more than there are servers.
const STREAMS: usize = 8;

/// Time for a change to reach every gateway.
const PROPAGATION: Duration = Duration::from_millis(600);

/// Gateways, and model servers of several versions.
struct Fleet {
    service: Arc<Service>,
    nodes: Vec<Node>,
    /// Runtime of the first gateway, which ends with it.
    runtime: Option<Runtime>,
    servers: Vec<(Backend, &'static str)>,
}

impl Fleet {
    async fn spawn(nodes: usize, servers: &[(Behavior, &'static str)]) -> Self {
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
        let runtime = Runtime::new().expect("a runtime");
        let first = {
            let service = Arc::clone(&service);
            runtime.spawn(async move { Node::spawn(&service, "g0").await })
        };
        let mut fleet = Self {
            nodes: vec![first.await.expect("no panic")],
            service,
            runtime: Some(runtime),
            servers,
        };
        for index in 1..nodes {
            let node = Node::spawn(&fleet.service, &format!("g{index}")).await;
            fleet.nodes.push(node);
        }
        for node in &fleet.nodes {
            node.wait_ready().await;
        }
        sleep(PROPAGATION).await;
        fleet
    }

    /// Kills the first gateway.
    fn kill_first(&mut self) {
        let runtime = self.runtime.take().expect("it runs");
        runtime.shutdown_background();
    }

    /// Version of the server that ran the request with an ID; `None` if none did.
    fn version_of(&self, id: &str) -> Option<&'static str> {
        let ran = |head: &String| field(head, "x-id") == Some(id);
        let mut servers = self.servers.iter();
        let (_, version) = servers.find(|(backend, _)| backend.state.heads().iter().any(ran))?;
        Some(version)
    }

    /// Begins a stream, and ends its connection after the second event.
    async fn begin(&self, node: usize, id: &str) {
        let text = request(id, "");
        let mut stream = caller::open(self.nodes[node].callers, &text).await;
        read_until(&mut stream, "id: 2").await;
    }

    /// Resumes a stream after its second event.
    async fn resume(&self, node: usize, id: &str, first: Option<&str>) -> Response {
        let resumes = first.map_or(String::new(), |first| format!("x-resumes: {first}\r\n"));
        let text = request(id, &format!("x-after: 2\r\n{resumes}"));
        caller::send(self.nodes[node].callers, &text).await
    }

    /// Begins streams at the first gateway, resumes them at another, and expects that each goes on
    /// at its version. `between` runs in between.
    async fn expect_resumes(&mut self, name: &str, between: impl AsyncFnOnce(&mut Self)) {
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

fn register(service: &Service, index: usize, backend: &Backend, version: &str) {
    let value = format!("model {} ready version={version}", backend.address);
    service.set(&format!("servers/model-{index}"), Some(&value));
}

fn request(id: &str, header_lines: &str) -> String {
    format!(
        "POST /resumable/ HTTP/1.1\r\nHost: host.example\r\nx-id: {id}\r\nx-tokens: 100\r\n\
         Connection: close\r\n{header_lines}Content-Length: 2\r\n\r\nhi"
    )
}

async fn read_until(stream: &mut TcpStream, text: &str) {
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

/// Two servers of each of two versions, whose streams pause after the second event.
const MIXED: [(Behavior, &str); 4] = [
    (Behavior::SlowStream, "1"),
    (Behavior::SlowStream, "2"),
    (Behavior::SlowStream, "1"),
    (Behavior::SlowStream, "2"),
];

#[gtest]
#[tokio::test]
async fn a_truncated_stream_resumes_only_on_its_version() {
    let servers = [(Behavior::CutStream, "1"), (Behavior::Stream, "2")];
    let mut fleet = Fleet::spawn(1, &servers).await;
    let event_count = |response: &Response| response.body.matches("id: ").count();
    for round in 0..4 {
        let id = format!("q{round}");
        let response = caller::send(fleet.nodes[0].callers, &request(&id, "")).await;
        let began_at = fleet.version_of(&id);
        let expected = if began_at == Some("1") { 2 } else { 4 };
        expect_that!(event_count(&response), eq(expected), "{id}");
        expect_that!(response.is_complete, eq(expected == 4));
    }
    expect_that!(fleet.version_of("q0"), some(eq("1")));
    let same = Backend::spawn(Behavior::Stream).await;
    register(&fleet.service, 2, &same, "1");
    fleet.servers.push((same, "1"));
    sleep(PROPAGATION).await;
    for round in 4..8 {
        let response =
            caller::send(fleet.nodes[0].callers, &request(&format!("q{round}"), "")).await;
        expect_that!(
            (event_count(&response), response.is_complete),
            eq((4, true))
        );
    }
    let resumed = fleet.servers[1].0.state.heads();
    expect_that!(
        resumed.iter().any(|head| head.contains("x-after")),
        eq(false)
    );
}

#[gtest]
#[tokio::test]
async fn a_version_that_changes_under_one_registration_is_another_version() {
    let servers = [(Behavior::HangStream, "1"), (Behavior::Stream, "1")];
    for changes in [false, true] {
        let fleet = Fleet::spawn(1, &servers).await;
        let callers = fleet.nodes[0].callers;
        let mut stream = caller::open(callers, &request("q", "")).await;
        read_until(&mut stream, "id: 2").await;
        if changes {
            register(&fleet.service, 1, &fleet.servers[1].0, "2");
        }
        let rest = caller::read_to_end(&mut stream).await;
        let is_resumed = !fleet.servers[1].0.state.heads().is_empty();
        expect_that!(is_resumed, eq(!changes), "{}", rest.head);
    }
}

#[gtest]
#[tokio::test]
async fn a_caller_resumes_at_another_gateway_on_the_first_version() {
    let mut fleet = Fleet::spawn(3, &MIXED).await;
    fleet.expect_resumes("plain", async |_| {}).await;
    fleet
        .expect_resumes("outage", async |fleet| {
            for node in &fleet.nodes {
                node.kv.set_failing(true);
            }
            sleep(PROPAGATION).await;
        })
        .await;
}

#[gtest]
#[tokio::test]
async fn a_caller_resumes_on_the_first_version_after_its_gateway_was_killed() {
    let mut fleet = Fleet::spawn(3, &MIXED).await;
    fleet
        .expect_resumes("killed", async |fleet| {
            fleet.kill_first();
        })
        .await;
}

#[gtest]
#[tokio::test]
async fn a_stream_that_began_before_a_release_resumes_on_its_version() {
    let mut fleet = Fleet::spawn(3, &[(Behavior::SlowStream, "1"); 2]).await;
    fleet
        .expect_resumes("release", async |fleet| {
            for index in 2..12 {
                let backend = Backend::spawn(Behavior::SlowStream).await;
                register(&fleet.service, index, &backend, "2");
                fleet.servers.push((backend, "2"));
            }
            sleep(PROPAGATION).await;
            fleet.kill_first();
        })
        .await;
}

#[gtest]
#[tokio::test]
async fn a_stream_that_is_resumed_twice_names_its_first_attempt() {
    let mut fleet = Fleet::spawn(3, &MIXED).await;
    let ids: Vec<String> = (0..4).map(|index| index.to_string()).collect();
    let begun = ids
        .iter()
        .map(async |id| fleet.begin(0, &format!("a{id}")).await);
    join_all(begun).await;
    fleet.kill_first();
    for id in &ids {
        let [first, next, last] = ["a", "b", "c"].map(|attempt| format!("{attempt}{id}"));
        let lines = format!("x-after: 2\r\nx-resumes: {first}\r\n");
        let mut stream = caller::open(fleet.nodes[1].callers, &request(&next, &lines)).await;
        read_until(&mut stream, "id: 3").await;
        drop(stream);
        let lines = format!("x-after: 3\r\nx-resumes: {first}\r\n");
        let response = caller::send(fleet.nodes[2].callers, &request(&last, &lines)).await;
        expect_that!(response.status, eq(200), "{}", response.body);
        let versions = [&first, &next, &last].map(|id| fleet.version_of(id));
        expect_that!(versions[0], some(anything()));
        expect_that!(versions, each(eq(versions[0])), "{id}");
    }
}

#[gtest]
#[tokio::test]
async fn streams_of_a_pool_of_one_version_are_neither_told_nor_asked_for() {
    let peer = Peer::spawn().await;
    let fleet = Fleet::spawn(1, &[(Behavior::SlowStream, "1"); 2]).await;
    fleet
        .service
        .set("mulberryyoke/gateways/peer", Some(&peer.registration()));
    sleep(PROPAGATION).await;
    fleet.begin(0, "a").await;
    fleet.resume(0, "b", Some("a")).await;
    fleet.resume(0, "c", Some("never")).await;
    expect_that!(peer.counts(), eq((0, 0)));
    register(&fleet.service, 1, &fleet.servers[1].0, "2");
    sleep(PROPAGATION).await;
    let (told, _) = peer.counts();
    expect_that!(told, ge(1), "the streams that began before");
    fleet.begin(0, "d").await;
    fleet.resume(0, "e", Some("unseen")).await;
    let (told_later, asked) = peer.counts();
    expect_that!(told_later, gt(told));
    expect_that!(asked, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_stream_of_unknown_version_is_refused_while_versions_are_mixed() {
    let fleet = Fleet::spawn(2, &MIXED).await;
    for (id, first) in [("u0", Some("never")), ("u1", None)] {
        let response = fleet.resume(0, id, first).await;
        expect_that!(response.status, eq(503), "{id}");
        expect_that!(fleet.version_of(id), none(), "{id}");
    }
    let fleet = Fleet::spawn(2, &[(Behavior::Stream, "1"); 2]).await;
    for (id, first) in [("u0", Some("never")), ("u1", None)] {
        let response = fleet.resume(0, id, first).await;
        expect_that!(
            (response.status, response.is_complete),
            eq((200, true)),
            "{id}"
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_gateway_that_has_just_started_knows_that_versions_are_mixed() {
    let fleet = Fleet::spawn(1, &MIXED).await;
    for round in 0..3 {
        let node = Node::spawn(&fleet.service, &format!("n{round}")).await;
        for attempt in 0..200 {
            let text = request(
                &format!("s{round}-{attempt}"),
                "x-after: 2\r\nx-resumes: a\r\n",
            );
            let response = caller::send(node.callers, &text).await;
            expect_that!(response.status, eq(503), "{attempt}");
            if response.body.contains("version_unknown") {
                break;
            }
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let fleet = Fleet::spawn(2, &MIXED).await;
    fleet.begin(0, "g0").await;
    let version = fleet.version_of("g0");
    for (index, (_, other)) in fleet.servers.iter().enumerate() {
        if Some(*other) == version {
            fleet.service.set(&format!("servers/model-{index}"), None);
        }
    }
    sleep(PROPAGATION).await;
    let response = fleet.resume(1, "g1", Some("g0")).await;
    expect_that!(response.status, eq(503));
    expect_that!(fleet.version_of("g1"), none());
}

/// A peer that counts what it is told and asked, and answers nothing.
struct Peer {
    address: SocketAddr,
    told: Arc<AtomicU32>,
    asked: Arc<AtomicU32>,
}

impl Peer {
    async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let socket = UdpSocket::bind(address).await.expect("the same port");
        let (told, asked) = (Arc::<AtomicU32>::default(), Arc::<AtomicU32>::default());
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
                    let is_ask =
                        request.is_some_and(|(head, _)| head.starts_with("post /streams/"));
                    counter.fetch_add(u32::from(is_ask), Ordering::Relaxed);
                });
            }
        });
        Self {
            address,
            told,
            asked,
        }
    }

    fn registration(&self) -> String {
        format!("{} 1000 a", self.address)
    }

    /// Number of packets with origins, and of questions.
    fn counts(&self) -> (u32, u32) {
        let counters = [&self.told, &self.asked];
        let [told, asked] = counters.map(|counter| counter.load(Ordering::Relaxed));
        (told, asked)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
