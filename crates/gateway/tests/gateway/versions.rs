//! Streams go on only on servers of the software version that began them.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::time::{sleep, timeout};

use crate::backend::{Backend, Behavior, field};
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

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
