//! Origins of streams outlast the loss of all gateways that know them.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior, field};
use crate::caller::{self, Response};
use crate::feed::Service;
use crate::fleet::Node;
use crate::version_fleet::{PROPAGATION, STREAMS, read_until, register, request};

/// Key prefix of the archive.
const KEYS: &str = "mulberryyoke/origins/";

/// Time in which origins are in the service, also after a failed call.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a read of the archive counts.
const READ_VALID: Duration = Duration::from_secs(5);

/// A gateway that can be killed with all of its tasks.
struct Process {
    node: Node,
    /// Ends with the process.
    runtime: Option<Runtime>,
}

impl Process {
    async fn spawn(service: &Arc<Service>, name: &str) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let (service, name) = (Arc::clone(service), name.to_owned());
        let node = runtime.spawn(async move { Node::spawn(&service, &name).await });
        let node = node.await.expect("no panic");
        node.wait_ready().await;
        let runtime = Some(runtime);
        Self { node, runtime }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Servers of two versions and gateways, all of which can be killed.
struct Site {
    service: Arc<Service>,
    servers: Vec<(Backend, &'static str)>,
    processes: Vec<Process>,
}

impl Site {
    async fn spawn(gateways: usize) -> Self {
        let service = Service::new();
        service.set("config", Some("5 secret"));
        let mut servers = Vec::new();
        for (index, version) in ["1", "2", "1", "2"].into_iter().enumerate() {
            let backend = Backend::spawn(Behavior::SlowStream).await;
            register(&service, index, &backend, version);
            servers.push((backend, version));
        }
        let mut site = Self {
            service,
            servers,
            processes: Vec::new(),
        };
        site.start(gateways).await;
        site
    }

    async fn start(&mut self, gateways: usize) {
        for index in 0..gateways {
            let process = Process::spawn(&self.service, &format!("g{index}")).await;
            self.processes.push(process);
        }
        sleep(PROPAGATION).await;
    }

    /// Kills all gateways, and starts as many of the same names.
    async fn restart_all(&mut self) {
        let gateways = self.processes.len();
        self.processes.clear();
        self.start(gateways).await;
    }

    fn set_failing(&self, is_failing: bool) {
        for process in &self.processes {
            process.node.kv.set_failing(is_failing);
        }
    }

    fn version_of(&self, id: &str) -> Option<&'static str> {
        let ran = |head: &String| field(head, "x-id") == Some(id);
        let mut servers = self.servers.iter();
        let found = servers.find(|(backend, _)| backend.state.heads().iter().any(ran));
        found.map(|(_, version)| *version)
    }

    /// Begins streams at the first gateway, which break off.
    async fn begin(&self, name: &str) -> Vec<String> {
        let ids: Vec<String> = (0..STREAMS).map(|index| format!("{name}{index}")).collect();
        let begun = ids.iter().map(async |id| {
            let address = self.processes[0].node.callers;
            let mut stream = caller::open(address, &request(id, "")).await;
            read_until(&mut stream, "id: 2").await;
        });
        join_all(begun).await;
        ids
    }

    /// Resumes a stream, again as long as the gateway tells when to come back.
    async fn resume(&self, process: usize, id: &str) -> Response {
        let until = Instant::now() + WRITE_TIMEOUT;
        for attempt in 0.. {
            let lines = format!("x-after: 2\r\nx-first-attempt: {id}\r\n");
            let text = request(&format!("{id}r{attempt}"), &lines);
            let address = self.processes[process].node.callers;
            let response = caller::send(address, &text).await;
            if !response.body.contains("version_unanswered") {
                return response;
            }
            expect_that!(response.head.contains("retry-after: "), eq(true));
            assert!(Instant::now() < until, "no decision: {}", response.body);
            sleep(Duration::from_millis(200)).await;
        }
        unreachable!("it is resumed until there is a decision")
    }

    /// Expects that each stream goes on at its version.
    async fn expect_resumes(&self, ids: &[String]) {
        let resumed = ids.iter().enumerate();
        let resumed = resumed.map(|(index, id)| self.resume(index % self.processes.len(), id));
        for (response, id) in join_all(resumed).await.into_iter().zip(ids) {
            let result = (response.status, response.is_complete);
            expect_that!(result, eq((200, true)), "{id}: {}", response.body);
            let versions: Vec<_> = (0..50)
                .filter_map(|attempt| self.version_of(&format!("{id}r{attempt}")))
                .collect();
            let first = self.version_of(id).expect("begun");
            expect_that!(versions.iter().all(|version| *version == first), eq(true));
            expect_that!(versions, not(is_empty()));
        }
    }

    /// Waits until origins are in the service.
    async fn written(&self) {
        let until = Instant::now() + WRITE_TIMEOUT;
        while self.service.keys(KEYS).is_empty() {
            assert!(Instant::now() < until, "no origins are written");
            sleep(Duration::from_millis(20)).await;
        }
        // Entries that came meanwhile follow in the next write.
        sleep(Duration::from_secs(1)).await;
    }
}

#[gtest]
#[tokio::test]
async fn streams_go_on_at_their_version_after_all_gateways_were_lost() {
    let mut site = Site::spawn(2).await;
    let ids = site.begin("a").await;
    site.written().await;
    site.restart_all().await;
    site.expect_resumes(&ids).await;
    // What was written before stays although the gateways start once more.
    site.restart_all().await;
    site.expect_resumes(&ids).await;
}

#[gtest]
#[tokio::test]
async fn a_stream_whose_origin_was_not_written_is_refused() {
    let mut site = Site::spawn(2).await;
    site.set_failing(true);
    let ids = site.begin("b").await;
    site.restart_all().await;
    for (index, id) in ids.iter().enumerate() {
        let response = site.resume(index % 2, id).await;
        expect_that!(response.status, eq(503), "{id}");
        expect_that!(response.body, contains_substring("version_unknown"));
        expect_that!(site.version_of(&format!("{id}r0")), none());
    }
}

#[gtest]
#[tokio::test]
async fn origins_are_written_once_the_service_is_back() {
    let mut site = Site::spawn(2).await;
    site.set_failing(true);
    let ids = site.begin("c").await;
    sleep(Duration::from_millis(700)).await;
    expect_that!(site.service.keys(KEYS), is_empty());
    site.set_failing(false);
    site.written().await;
    site.restart_all().await;
    site.expect_resumes(&ids).await;
}

#[gtest]
#[tokio::test]
async fn origins_are_written_again_after_their_lease_has_ended() {
    let mut site = Site::spawn(2).await;
    let mut ids = site.begin("d").await;
    site.written().await;
    site.service.end_leases();
    expect_that!(site.service.keys(KEYS), is_empty());
    ids.extend(site.begin("e").await);
    site.written().await;
    site.restart_all().await;
    site.expect_resumes(&ids).await;
}

#[gtest]
#[tokio::test]
async fn streams_go_on_although_their_gateway_and_its_replicas_are_gone_for_good() {
    let mut site = Site::spawn(4).await;
    sleep(READ_VALID).await;
    let ids = site.begin("f").await;
    site.written().await;
    for (index, process) in site.processes.drain(..3).enumerate() {
        drop(process);
        site.service
            .set(&format!("mulberryyoke/gateways/g{index}"), None);
    }
    sleep(PROPAGATION).await;
    site.expect_resumes(&ids).await;
}

#[gtest]
#[tokio::test]
async fn origins_are_not_relayed_to_other_gateways() {
    let site = Site::spawn(1).await;
    site.begin("g").await;
    site.written().await;
    let keys = site.service.keys(KEYS);
    expect_that!(keys, not(is_empty()));
    let text = "GET /relay/list HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let address = site.processes[0].node.control;
    let listing = caller::send(address, text).await;
    expect_that!(listing.status, eq(200));
    expect_that!(listing.body, contains_substring("servers/model-0"));
    expect_that!(listing.body.contains(KEYS), eq(false));
    // A peer that waits for changes is not woken for them.
    let after = site.service.revision();
    let text = format!(
        "GET /relay/changes?era=0&after={after}&wait_ms=600 HTTP/1.1\r\nHost: h\r\n\
         Connection: close\r\n\r\n"
    );
    let start = Instant::now();
    let waiting = caller::send(address, &text);
    let write = async {
        sleep(Duration::from_millis(100)).await;
        site.service.write(&format!("{KEYS}other/0"), Some(vec![0]));
    };
    let (response, ()) = tokio::join!(waiting, write);
    expect_that!(response.status, eq(200));
    expect_that!(start.elapsed(), ge(Duration::from_millis(550)));
    expect_that!(response.body.contains(KEYS), eq(false));
}
