//! A non-idempotent call runs at most once.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::call::End;
use mulberryyoke_standin::kv::Switch;

use crate::common::{Fleet, Request, Response, Setup, wait};

/// Time of a call that is to be under way when a fault comes.
const LONG: Duration = Duration::from_millis(800);

/// The servers of the pool.
const POOL: [&str; 2] = ["booking-0", "booking-1"];

fn one() -> Setup {
    Setup {
        services: 1,
        latency: LONG,
        ..Setup::default()
    }
}

/// Two servers, of which the second is not configured yet.
fn growing() -> Setup {
    Setup {
        services: 2,
        unconfigured: 1,
        slots: 8,
        ..Setup::default()
    }
}

fn outage(outage: bool) -> Switch {
    Switch {
        outage: Some(outage),
        ..Switch::default()
    }
}

fn lose_answers(count: u64) -> Switch {
    Switch {
        lose_answers: Some(count),
        ..Switch::default()
    }
}

/// Sends a call through every router at once.
async fn send_all(fleet: &Fleet, request: &Request) -> Vec<Response> {
    let routers = 0..fleet.routers.len();
    join_all(routers.map(|router| request.send(fleet.caller_address(router)))).await
}

/// Repeats a call through a router, as its caller does, until it is told what is
/// wanted.
async fn settle(fleet: &Fleet, router: usize, request: &Request, wanted: End) -> Response {
    wait::until(&format!("{wanted:?} of {}", request.op), async || {
        let response = request.send(fleet.caller_address(router)).await;
        let is_wanted = response.end == wanted;
        is_wanted
            .then(|| response.clone())
            .ok_or(format!("{response:?}"))
    })
    .await
}

/// Repeats a call through every router: none may run it again.
async fn expect_no_more_runs(fleet: &Fleet, request: &Request, wanted: &[End]) {
    for response in send_all(fleet, request).await {
        expect_that!(wanted, contains(eq(&response.end)), "{response:?}");
    }
    expect_that!(fleet.start_count(&request.op), eq(1), "{}", request.op);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_sent_through_two_routers_at_once_runs_once() {
    let fleet = Fleet::spawn(Setup {
        services: 2,
        latency: LONG / 8,
        ..Setup::default()
    })
    .await;
    let requests: Vec<Request> = (0..16)
        .map(|n| Request::booking(&format!("{n}")).with_key())
        .collect();
    let responses = join_all(requests.iter().map(|request| send_all(&fleet, request))).await;
    for (request, responses) in requests.iter().zip(responses) {
        let whole = settle(&fleet, 1, request, End::Whole).await;
        expect_that!(whole.body, ok(contains_substring("\"ran\":1")));
        expect_that!(fleet.start_count(&request.op), eq(1), "{responses:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interrupted_key_is_not_run_again_after_a_sidecar_crash() {
    let fleet = Fleet::spawn(one()).await;
    let request = Request::booking("slot").with_key();
    let first = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    fleet.sidecars[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    fleet.sidecars[0].start();
    expect_no_more_runs(&fleet, &request, &[End::Unknown]).await;
    let next = Request::booking("next").with_key();
    settle(&fleet, 1, &next, End::Whole).await;
    expect_no_more_runs(&fleet, &request, &[End::Unknown]).await;
    expect_that!(fleet.start_count(&next.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_is_not_run_again_after_a_planned_sidecar_restart() {
    let fleet = Fleet::spawn(one()).await;
    let request = Request::booking("slot").with_key();
    let first = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    expect_that!(fleet.sidecars[0].stop().await, some(eq(0)));
    expect_that!(first.await.unwrap().end, eq(End::Whole));
    fleet.sidecars[0].start();
    settle(&fleet, 1, &request, End::Ran).await;
    expect_no_more_runs(&fleet, &request, &[End::Ran]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_is_not_run_again_after_a_router_crash() {
    let fleet = Fleet::spawn(one()).await;
    let request = Request::booking("slot").with_key();
    let first = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    fleet.routers[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    settle(&fleet, 1, &request, End::Whole).await;
    fleet.routers[0].start();
    fleet.wait_connected(0).await;
    expect_no_more_runs(&fleet, &request, &[End::Whole]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interrupted_key_is_not_run_again_after_router_and_sidecar_crash_together() {
    let fleet = Fleet::spawn(one()).await;
    let request = Request::booking("slot").with_key();
    let first = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    // Nobody is left who remembers the key.
    fleet.routers[0].kill().await;
    fleet.sidecars[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    fleet.sidecars[0].start();
    fleet.routers[0].start();
    fleet.wait_connected(0).await;
    expect_no_more_runs(&fleet, &request, &[End::Unknown]).await;
    let told = fleet.sidecars[0]
        .wait_event(Event::KeysIndeterminate, |_| true)
        .await;
    expect_that!(told["routers"].as_u64(), some(ge(1)));
    expect_no_more_runs(&fleet, &request, &[End::Unknown]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_not_run_again_after_a_sidecar_crash_during_a_kv_outage() {
    let fleet = Fleet::spawn(one()).await;
    let before = Request::booking("before").with_key();
    settle(&fleet, 0, &before, End::Whole).await;
    fleet.kv.switch(&outage(true));
    let request = Request::booking("slot").with_key();
    let first = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    fleet.sidecars[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    fleet.sidecars[0].start();
    fleet.sidecars[0].wait_event(Event::KvDown, |_| true).await;
    for request in [&before, &request] {
        expect_no_more_runs(&fleet, request, &[End::Unknown]).await;
    }
    fleet.kv.switch(&outage(false));
    let next = Request::booking("next").with_key();
    settle(&fleet, 1, &next, End::Whole).await;
    for request in [&before, &request] {
        expect_no_more_runs(&fleet, request, &[End::Unknown]).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_is_not_run_again_after_a_restart_that_loses_kv_responses() {
    let fleet = Fleet::spawn(one()).await;
    let request = Request::booking("slot").with_key();
    settle(&fleet, 0, &request, End::Whole).await;
    // The answers to the last write of one life and the first of the next.
    fleet.kv.switch(&lose_answers(2));
    expect_that!(fleet.sidecars[0].stop().await, some(eq(0)));
    fleet.sidecars[0].start();
    settle(&fleet, 1, &request, End::Ran).await;
    expect_that!(fleet.kv.stats().lost_answers, eq(2));
    expect_no_more_runs(&fleet, &request, &[End::Ran]).await;
    let next = Request::booking("next").with_key();
    settle(&fleet, 0, &next, End::Whole).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_run_once_when_an_added_server_becomes_their_home() {
    let fleet = Fleet::spawn(growing()).await;
    let moved = |n: u64| Request::booking_at(&POOL, POOL[1], n);
    let before: Vec<Request> = (0..8).map(moved).collect();
    let during: Vec<Request> = (8..24).map(moved).collect();
    for request in &before {
        settle(&fleet, 0, request, End::Whole).await;
    }
    let sending = join_all(during.iter().map(|request| send_all(&fleet, request)));
    let ((), responses) = tokio::join!(fleet.configure_server(0, 1), sending);
    for router in 0..2 {
        fleet.wait_connected_to(router, &fleet.sidecars[1]).await;
    }
    for request in &before {
        expect_no_more_runs(&fleet, request, &[End::Ran]).await;
    }
    for (request, responses) in during.iter().zip(responses) {
        wait::until("an end", async || {
            let response = request.send(fleet.caller_address(1)).await;
            let is_end = matches!(response.end, End::Whole | End::Ran);
            is_end.then_some(()).ok_or(format!("{response:?}"))
        })
        .await;
        expect_that!(fleet.start_count(&request.op), eq(1), "{responses:?}");
    }
    let next = moved(24);
    settle(&fleet, 0, &next, End::Whole).await;
    expect_that!(fleet.backends[1].runs(&next.op), len(eq(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_run_once_when_their_home_is_drained() {
    let fleet = Fleet::spawn(Setup {
        services: 2,
        ..one()
    })
    .await;
    let done = Request::booking_at(&POOL, POOL[0], 0);
    settle(&fleet, 0, &done, End::Whole).await;
    let request = Request::booking_at(&POOL, POOL[0], 1);
    let first = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    fleet.run_command(1, "server drain booking-0").await;
    for response in send_all(&fleet, &request).await {
        expect_that!(
            response.end,
            any![eq(End::Whole), eq(End::Ran), eq(End::Unknown)],
            "{response:?}"
        );
    }
    expect_that!(first.await.unwrap().end, eq(End::Whole));
    let next = Request::booking_at(&POOL, POOL[0], 2);
    for router in 0..2 {
        settle(&fleet, router, &next, End::Whole).await;
    }
    expect_that!(fleet.backends[1].runs(&next.op), len(eq(1)));
    for request in [&done, &request] {
        expect_no_more_runs(&fleet, request, &[End::Ran]).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delayed_request_to_a_former_home_does_not_run_the_key_again() {
    let fleet = Fleet::spawn(Setup {
        with_sidecar_relays: true,
        ..growing()
    })
    .await;
    let moved = |n: u64| Request::booking_at(&POOL, POOL[1], n);
    settle(&fleet, 1, &moved(0), End::Whole).await;
    let [_, data] = &fleet.sidecar_relays[0];
    data.hold();
    let request = moved(1);
    let late = request.spawn(fleet.caller_address(1));
    fleet.routers[1]
        .wait_event(Event::Routed, |line| {
            line["server"] == POOL[0] && line["waited_ms"].is_u64()
        })
        .await;
    fleet.configure_server(0, 1).await;
    fleet.wait_connected_to(0, &fleet.sidecars[1]).await;
    settle(&fleet, 0, &request, End::Whole).await;
    data.release();
    let late = late.await.unwrap();
    expect_that!(late.end, eq(End::Whole), "{late:?}");
    expect_that!(fleet.start_count(&request.op), eq(1), "{late:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_restarted_router_are_refused_during_a_kv_outage() {
    let fleet = Fleet::spawn(one()).await;
    settle(&fleet, 0, &Request::booking("a").with_key(), End::Whole).await;
    settle(&fleet, 1, &Request::booking("b").with_key(), End::Whole).await;
    fleet.kv.switch(&outage(true));
    let request = Request::booking("slot").with_key();
    send_all(&fleet, &request).await;
    settle(&fleet, 0, &request, End::Whole).await;
    // A router that comes new cannot be named in the home record now.
    fleet.routers[1].kill().await;
    fleet.routers[1].start();
    fleet.wait_connected(1).await;
    expect_no_more_runs(&fleet, &request, &[End::Whole]).await;
    let next = Request::booking("next").with_key();
    let refused = next.send(fleet.caller_address(1)).await;
    expect_that!(refused.refusal(), eq((503, "keys_full", "unknown")));
    expect_that!(fleet.start_count(&next.op), eq(0));
    fleet.kv.switch(&outage(false));
    settle(&fleet, 1, &next, End::Whole).await;
}
