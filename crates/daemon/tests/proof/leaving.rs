//! A backend server that is leaving receives no new work after a few seconds.

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_platform::vm::State;
use mulberryyoke_standin::fleet::call::End;
use mulberryyoke_standin::fleet::operator::words;
use mulberryyoke_standin::kv::Switch;
use mulberryyoke_standin::vms;
use serde_json::Value;

use crate::common::{Fleet, Request, Setup, Stream, wait};

/// Tokens of an answer that is under way when the server begins to leave.
const TOKENS: u32 = 150;

/// Requests that are asked at once.
const BATCH_SIZE: usize = 24;

async fn two() -> Fleet {
    Fleet::spawn(Setup {
        engines: 2,
        slots: 4,
        ..Setup::default()
    })
    .await
}

fn outage(fleet: &Fleet, outage: bool) {
    fleet.kv.switch(&Switch {
        outage: Some(outage),
        ..Switch::default()
    });
}

/// The VM list says that the first server is leaving.
fn list_leaving(fleet: &Fleet) {
    let leaving = [("assistant-0".to_owned(), State::Leaving)];
    fleet.vms.switch(vms::Switch {
        states: leaving.into(),
        ..vms::Switch::default()
    });
}

/// Waits until every router says that the first server is leaving.
async fn known(fleet: &Fleet) {
    for router in 0..fleet.routers.len() {
        wait::until("the server to leave", async || {
            let status = fleet.send_command(router, &words("status"), 1).await;
            let status = serde_json::to_value(status.answer).unwrap();
            let nodes = status["status"]["nodes"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let leaves = |node: &Value| node["name"] == "assistant-0" && node["leaving"] == true;
            nodes
                .iter()
                .any(leaves)
                .then_some(())
                .ok_or(status.to_string())
        })
        .await;
    }
}

/// An answer under way at each server; one of them is the first server's.
async fn under_way(fleet: &Fleet) -> Vec<Stream> {
    let mut streams = Vec::new();
    for n in 0..4 {
        let request = Request::chat(&format!("running-{n}"), TOKENS);
        let mut stream = Stream::open(&request, fleet.caller_address(n % 2)).await;
        stream.read_tokens(1).await;
        streams.push(stream);
    }
    streams
}

/// Asks more than the other server can run at once; returns how much of it went
/// to the first.
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
        expect_that!(response.end, eq(End::Whole), "{response:?}");
    }
    fleet.backends[0].journal().runs().len() - before
}

/// A few seconds after the order nothing new may go to the first server any more.
async fn expect_no_new_work(fleet: &Fleet) {
    wait::until("an end of new work", async || {
        let more = send_batch(fleet).await;
        (more == 0)
            .then_some(())
            .ok_or(format!("{more} of {BATCH_SIZE} more"))
    })
    .await;
    for _ in 0..2 {
        expect_that!(send_batch(fleet).await, eq(0));
    }
}

async fn expect_whole(streams: Vec<Stream>) {
    for stream in streams {
        let held = stream.read_to_end().await;
        expect_that!(held, ok(contains_substring("[DONE]")));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_server_gets_no_new_requests() {
    let fleet = two().await;
    let streams = under_way(&fleet).await;
    fleet.run_command(0, "server drain assistant-0").await;
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
    expect_whole(streams).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_leaving_in_the_vm_list_gets_no_new_requests() {
    let fleet = two().await;
    let streams = under_way(&fleet).await;
    list_leaving(&fleet);
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
    expect_whole(streams).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_leaving_in_the_vm_list_during_a_kv_outage_gets_no_new_requests() {
    let fleet = two().await;
    let streams = under_way(&fleet).await;
    outage(&fleet, true);
    list_leaving(&fleet);
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
    expect_whole(streams).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_drained_just_before_a_kv_outage_gets_no_new_requests() {
    let fleet = two().await;
    fleet.run_command(0, "server drain assistant-0").await;
    outage(&fleet, true);
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_server_gets_no_new_requests_after_a_router_crash_during_a_kv_outage() {
    let fleet = two().await;
    fleet.run_command(0, "server drain assistant-0").await;
    known(&fleet).await;
    outage(&fleet, true);
    fleet.routers[1].kill().await;
    fleet.routers[1].start();
    fleet.wait_connected_to(1, &fleet.sidecars[1]).await;
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_drained_while_its_sidecar_is_suspended_gets_no_new_requests() {
    let fleet = two().await;
    fleet.sidecars[0].suspend();
    fleet.run_command(0, "server drain assistant-0").await;
    known(&fleet).await;
    fleet.sidecars[0].resume();
    expect_no_new_work(&fleet).await;
}
