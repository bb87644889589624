//! A backend server that is leaving receives no new work after a few seconds.

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_platform::vm::State;
use mulberryyoke_standin::fleet::call::End;
use mulberryyoke_standin::fleet::operator::words;
use mulberryyoke_standin::kv::Faults;
use mulberryyoke_standin::vms;
use serde_json::Value;

use crate::shared::{Ask, Fleet, Setup, Stream, wait};

/// Tokens of an answer that is under way when the server begins to leave.
const TOKENS: u32 = 150;

/// Requests that are asked at once.
const ASKS: usize = 24;

async fn two() -> Fleet {
    Fleet::spawn(Setup {
        engines: 2,
        slots: 4,
        ..Setup::default()
    })
    .await
}

fn outage(fleet: &Fleet, outage: bool) {
    fleet.kv.set_faults(&Faults {
        outage: Some(outage),
        ..Faults::default()
    });
}

/// The VM list says that the first server is leaving.
fn list_leaving(fleet: &Fleet) {
    let leaving = [("assistant-0".to_owned(), State::Leaving)];
    fleet.vms.update(vms::Update {
        states: leaving.into(),
        ..vms::Update::default()
    });
}

/// Waits until every router says that the first server is leaving.
async fn known(fleet: &Fleet) {
    for router in 0..fleet.routers.len() {
        wait::until("the server to leave", async || {
            let status = fleet.send(router, &words("status"), 1).await;
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
        let ask = Ask::chat(&format!("running-{n}"), TOKENS);
        let mut stream = Stream::open(&ask, fleet.router(n % 2)).await;
        stream.read(1).await;
        streams.push(stream);
    }
    streams
}

/// Asks more than the other server can run at once; returns how much of it went
/// to the first.
async fn ask(fleet: &Fleet) -> usize {
    let before = fleet.backends[0].journal().runs().len();
    let asks: Vec<Ask> = (0..ASKS).map(|n| Ask::chat(&format!("{n}"), 10)).collect();
    let asks = asks.iter().enumerate();
    let replies: Vec<_> = asks
        .map(|(n, ask)| ask.spawn(fleet.router(n % 2)))
        .collect();
    for reply in join_all(replies).await {
        let reply = reply.unwrap();
        expect_that!(reply.end, eq(End::Whole), "{reply:?}");
    }
    fleet.backends[0].journal().runs().len() - before
}

/// A few seconds after the order nothing new may go to the first server any more.
async fn expect_no_new_work(fleet: &Fleet) {
    wait::until("an end of new work", async || {
        let more = ask(fleet).await;
        (more == 0)
            .then_some(())
            .ok_or(format!("{more} of {ASKS} more"))
    })
    .await;
    for _ in 0..2 {
        expect_that!(ask(fleet).await, eq(0));
    }
}

async fn expect_whole(streams: Vec<Stream>) {
    for stream in streams {
        let held = stream.finish().await;
        expect_that!(held, ok(contains_substring("[DONE]")));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn by_an_operators_order() {
    let fleet = two().await;
    let streams = under_way(&fleet).await;
    fleet.command(0, "server drain assistant-0").await;
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
    expect_whole(streams).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn by_the_vm_list() {
    let fleet = two().await;
    let streams = under_way(&fleet).await;
    list_leaving(&fleet);
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
    expect_whole(streams).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn by_the_vm_list_while_the_kv_service_is_down() {
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
async fn by_an_order_just_before_the_kv_service_goes_down() {
    let fleet = two().await;
    fleet.command(0, "server drain assistant-0").await;
    outage(&fleet, true);
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_comes_back_while_the_kv_service_is_down() {
    let fleet = two().await;
    fleet.command(0, "server drain assistant-0").await;
    known(&fleet).await;
    outage(&fleet, true);
    fleet.routers[1].kill().await;
    fleet.routers[1].start();
    fleet.linked_to(1, &fleet.sidecars[1]).await;
    known(&fleet).await;
    expect_no_new_work(&fleet).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_that_was_frozen_when_it_was_ordered() {
    let fleet = two().await;
    fleet.sidecars[0].freeze();
    fleet.command(0, "server drain assistant-0").await;
    known(&fleet).await;
    fleet.sidecars[0].thaw();
    expect_no_new_work(&fleet).await;
}
