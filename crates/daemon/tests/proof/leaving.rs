//! A leaving backend server gets no new requests after a few seconds.

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_platform::vm::State;
use mulberryyoke_standin::fleet::call::CallOutcome;
use mulberryyoke_standin::fleet::operator::words;
use mulberryyoke_standin::kv::Faults;
use mulberryyoke_standin::vms;
use serde_json::Value;

use crate::common::{Fleet, Request, Setup, Stream, wait};

/// Length, in tokens, of the responses that are streaming when the server starts to leave.
const RESPONSE_TOKENS: u32 = 150;

/// Number of concurrent requests in a batch; exceeds the slots of one server.
const BATCH_SIZE: usize = 24;

async fn spawn_two_servers() -> Fleet {
    Fleet::spawn(Setup {
        engines: 2,
        slots: 4,
        ..Setup::default()
    })
    .await
}

fn set_kv_outage(fleet: &Fleet, outage: bool) {
    fleet.kv.set_faults(&Faults {
        outage: Some(outage),
        ..Faults::default()
    });
}

/// Marks the first server as leaving in the VM list.
fn mark_leaving(fleet: &Fleet) {
    let leaving = [("assistant-0".to_owned(), State::Leaving)];
    fleet.vms.update(vms::Update {
        states: leaving.into(),
        ..vms::Update::default()
    });
}

/// Waits until all routers report that the first server is leaving.
async fn wait_known_leaving(fleet: &Fleet) {
    for router in 0..fleet.routers.len() {
        wait::until("the server to be reported as leaving", async || {
            let status = fleet.send_command(router, &words("status"), 1).await;
            let status = serde_json::to_value(status.answer).unwrap();
            let nodes = status["status"]["nodes"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let is_leaving =
                |node: &Value| node["name"] == "assistant-0" && node["leaving"] == true;
            nodes
                .iter()
                .any(is_leaving)
                .then_some(())
                .ok_or(status.to_string())
        })
        .await;
    }
}

/// Starts streams through both routers and reads the first token of each.
async fn start_streams(fleet: &Fleet) -> Vec<Stream> {
    let mut streams = Vec::new();
    for n in 0..4 {
        let request = Request::chat(&format!("running-{n}"), RESPONSE_TOKENS);
        let mut stream = Stream::open(&request, fleet.caller_address(n % 2)).await;
        stream.read_tokens(1).await;
        streams.push(stream);
    }
    streams
}

/// Sends a batch of requests; returns how many of them went to the first server.
async fn send_batch(fleet: &Fleet) -> usize {
    let before = fleet.backends[0].journal().runs().len();
    let requests: Vec<Request> = (0..BATCH_SIZE)
        .map(|n| Request::chat(&format!("{n}"), 10))
        .collect();
    let requests = requests.iter().enumerate();
    let responses: Vec<_> = requests
        .map(|(n, request)| request.spawn(fleet.caller_address(n % 2)))
        .collect();
    for response in join_all(responses).await {
        let response = response.unwrap();
        expect_that!(
            response.call_outcome,
            eq(CallOutcome::Complete),
            "{response:?}"
        );
    }
    fleet.backends[0].journal().runs().len() - before
}

/// Waits until the first server gets no new requests, and expects that this lasts.
async fn expect_no_new_requests(fleet: &Fleet) {
    wait::until("no new requests at the leaving server", async || {
        let count = send_batch(fleet).await;
        (count == 0)
            .then_some(())
            .ok_or(format!("the server got {count} of {BATCH_SIZE} requests"))
    })
    .await;
    for _ in 0..2 {
        expect_that!(send_batch(fleet).await, eq(0));
    }
}

async fn expect_complete(streams: Vec<Stream>) {
    for stream in streams {
        let body = stream.read_to_end().await;
        expect_that!(body, ok(contains_substring("[DONE]")));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_server_gets_no_new_requests() {
    let fleet = spawn_two_servers().await;
    let streams = start_streams(&fleet).await;
    fleet.run_command(0, "server drain assistant-0").await;
    wait_known_leaving(&fleet).await;
    expect_no_new_requests(&fleet).await;
    expect_complete(streams).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_leaving_in_the_vm_list_gets_no_new_requests() {
    let fleet = spawn_two_servers().await;
    let streams = start_streams(&fleet).await;
    mark_leaving(&fleet);
    wait_known_leaving(&fleet).await;
    expect_no_new_requests(&fleet).await;
    expect_complete(streams).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_leaving_in_the_vm_list_during_a_kv_outage_gets_no_new_requests() {
    let fleet = spawn_two_servers().await;
    let streams = start_streams(&fleet).await;
    set_kv_outage(&fleet, true);
    mark_leaving(&fleet);
    wait_known_leaving(&fleet).await;
    expect_no_new_requests(&fleet).await;
    expect_complete(streams).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_drained_just_before_a_kv_outage_gets_no_new_requests() {
    let fleet = spawn_two_servers().await;
    fleet.run_command(0, "server drain assistant-0").await;
    set_kv_outage(&fleet, true);
    wait_known_leaving(&fleet).await;
    expect_no_new_requests(&fleet).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_server_gets_no_new_requests_after_a_router_crash_during_a_kv_outage() {
    let fleet = spawn_two_servers().await;
    fleet.run_command(0, "server drain assistant-0").await;
    wait_known_leaving(&fleet).await;
    set_kv_outage(&fleet, true);
    fleet.routers[1].kill().await;
    fleet.routers[1].restart();
    fleet.wait_connected_to(1, &fleet.sidecars[1]).await;
    wait_known_leaving(&fleet).await;
    expect_no_new_requests(&fleet).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_drained_while_its_sidecar_is_suspended_gets_no_new_requests() {
    let fleet = spawn_two_servers().await;
    fleet.sidecars[0].suspend().await;
    fleet.run_command(0, "server drain assistant-0").await;
    wait_known_leaving(&fleet).await;
    fleet.sidecars[0].resume();
    expect_no_new_requests(&fleet).await;
}
