//! A non-idempotent call runs at most once.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::call::CallOutcome;
use mulberryyoke_standin::kv::Faults;

use crate::common::{Fleet, Request, Response, Setup, wait};

/// Duration of a call that is still running when a fault occurs.
const SLOW_CALL: Duration = Duration::from_millis(800);

/// Servers of the pool.
const POOL: [&str; 2] = ["booking-0", "booking-1"];

fn one_service() -> Setup {
    Setup {
        services: 1,
        latency: SLOW_CALL,
        ..Setup::default()
    }
}

/// Two servers, the second of which is not configured at the start.
fn second_server_unconfigured() -> Setup {
    Setup {
        services: 2,
        unconfigured: 1,
        slots: 8,
        ..Setup::default()
    }
}

fn outage(outage: bool) -> Faults {
    Faults {
        outage: Some(outage),
        ..Faults::default()
    }
}

fn lose_responses(count: u64) -> Faults {
    Faults {
        lose_answers: Some(count),
        ..Faults::default()
    }
}

/// Sends a call through all routers concurrently.
async fn send_through_all_routers(fleet: &Fleet, request: &Request) -> Vec<Response> {
    let routers = 0..fleet.routers.len();
    join_all(routers.map(|router| request.send(fleet.caller_address(router)))).await
}

/// Retries a call through a router until it ends as expected.
async fn retry_until(
    fleet: &Fleet,
    router: usize,
    request: &Request,
    expected: CallOutcome,
) -> Response {
    wait::until(&format!("{expected:?} of {}", request.op), async || {
        let response = request.send(fleet.caller_address(router)).await;
        let is_expected = response.call_outcome == expected;
        is_expected
            .then(|| response.clone())
            .ok_or(format!("{response:?}"))
    })
    .await
}

/// Repeats a call through all routers and expects that it does not run again.
async fn expect_not_run_again(fleet: &Fleet, request: &Request, expected: &[CallOutcome]) {
    for response in send_through_all_routers(fleet, request).await {
        expect_that!(
            expected,
            contains(eq(&response.call_outcome)),
            "{response:?}"
        );
    }
    expect_that!(fleet.start_count(&request.op), eq(1), "{}", request.op);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_sent_through_two_routers_at_once_runs_once() {
    let fleet = Fleet::spawn(Setup {
        services: 2,
        latency: SLOW_CALL / 8,
        ..Setup::default()
    })
    .await;
    let requests: Vec<Request> = (0..16)
        .map(|n| Request::booking(&format!("{n}")).with_key())
        .collect();
    let responses = join_all(
        requests
            .iter()
            .map(|request| send_through_all_routers(&fleet, request)),
    )
    .await;
    for (request, responses) in requests.iter().zip(responses) {
        let complete = retry_until(&fleet, 1, request, CallOutcome::Complete).await;
        expect_that!(complete.body, ok(contains_substring("\"ran\":1")));
        expect_that!(fleet.start_count(&request.op), eq(1), "{responses:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interrupted_key_is_not_run_again_after_a_sidecar_crash() {
    let fleet = Fleet::spawn(one_service()).await;
    let request = Request::booking("slot").with_key();
    let pending = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    fleet.sidecars[0].kill().await;
    expect_that!(
        pending.await.unwrap().call_outcome,
        eq(CallOutcome::Unknown)
    );
    fleet.sidecars[0].restart();
    expect_not_run_again(&fleet, &request, &[CallOutcome::Unknown]).await;
    let next = Request::booking("next").with_key();
    retry_until(&fleet, 1, &next, CallOutcome::Complete).await;
    expect_not_run_again(&fleet, &request, &[CallOutcome::Unknown]).await;
    expect_that!(fleet.start_count(&next.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_is_not_run_again_after_a_planned_sidecar_restart() {
    let fleet = Fleet::spawn(one_service()).await;
    let request = Request::booking("slot").with_key();
    let pending = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    expect_that!(fleet.sidecars[0].stop().await, some(eq(0)));
    expect_that!(
        pending.await.unwrap().call_outcome,
        eq(CallOutcome::Complete)
    );
    fleet.sidecars[0].restart();
    retry_until(&fleet, 1, &request, CallOutcome::Ran).await;
    expect_not_run_again(&fleet, &request, &[CallOutcome::Ran]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_is_not_run_again_after_a_router_crash() {
    let fleet = Fleet::spawn(one_service()).await;
    let request = Request::booking("slot").with_key();
    let pending = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    fleet.routers[0].kill().await;
    expect_that!(
        pending.await.unwrap().call_outcome,
        eq(CallOutcome::Unknown)
    );
    retry_until(&fleet, 1, &request, CallOutcome::Complete).await;
    fleet.routers[0].restart();
    fleet.wait_connected(0).await;
    expect_not_run_again(&fleet, &request, &[CallOutcome::Complete]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interrupted_key_is_not_run_again_after_router_and_sidecar_crash_together() {
    let fleet = Fleet::spawn(one_service()).await;
    let request = Request::booking("slot").with_key();
    let pending = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    // No process that knows the key is left.
    fleet.routers[0].kill().await;
    fleet.sidecars[0].kill().await;
    expect_that!(
        pending.await.unwrap().call_outcome,
        eq(CallOutcome::Unknown)
    );
    fleet.sidecars[0].restart();
    fleet.routers[0].restart();
    fleet.wait_connected(0).await;
    expect_not_run_again(&fleet, &request, &[CallOutcome::Unknown]).await;
    let indeterminate = fleet.sidecars[0]
        .wait_event(Event::KeysIndeterminate, |_| true)
        .await;
    expect_that!(indeterminate["routers"].as_u64(), some(ge(1)));
    expect_not_run_again(&fleet, &request, &[CallOutcome::Unknown]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_not_run_again_after_a_sidecar_crash_during_a_kv_outage() {
    let fleet = Fleet::spawn(one_service()).await;
    let before = Request::booking("before").with_key();
    retry_until(&fleet, 0, &before, CallOutcome::Complete).await;
    fleet.kv.set_faults(&outage(true));
    let request = Request::booking("slot").with_key();
    let pending = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    fleet.sidecars[0].kill().await;
    expect_that!(
        pending.await.unwrap().call_outcome,
        eq(CallOutcome::Unknown)
    );
    fleet.sidecars[0].restart();
    fleet.sidecars[0].wait_event(Event::KvDown, |_| true).await;
    for request in [&before, &request] {
        expect_not_run_again(&fleet, request, &[CallOutcome::Unknown]).await;
    }
    fleet.kv.set_faults(&outage(false));
    let next = Request::booking("next").with_key();
    retry_until(&fleet, 1, &next, CallOutcome::Complete).await;
    for request in [&before, &request] {
        expect_not_run_again(&fleet, request, &[CallOutcome::Unknown]).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_is_not_run_again_after_a_restart_that_loses_kv_responses() {
    let fleet = Fleet::spawn(one_service()).await;
    let request = Request::booking("slot").with_key();
    retry_until(&fleet, 0, &request, CallOutcome::Complete).await;
    // The responses to the last write of one instance and the first write of the next.
    fleet.kv.set_faults(&lose_responses(2));
    expect_that!(fleet.sidecars[0].stop().await, some(eq(0)));
    fleet.sidecars[0].restart();
    retry_until(&fleet, 1, &request, CallOutcome::Ran).await;
    expect_that!(fleet.kv.stats().lost_answers, eq(2));
    expect_not_run_again(&fleet, &request, &[CallOutcome::Ran]).await;
    let next = Request::booking("next").with_key();
    retry_until(&fleet, 0, &next, CallOutcome::Complete).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_run_once_when_an_added_server_becomes_their_home() {
    let fleet = Fleet::spawn(second_server_unconfigured()).await;
    let request_with_moved_key = |n: u64| Request::booking_at(&POOL, POOL[1], n);
    let before: Vec<Request> = (0..8).map(request_with_moved_key).collect();
    let during: Vec<Request> = (8..24).map(request_with_moved_key).collect();
    for request in &before {
        retry_until(&fleet, 0, request, CallOutcome::Complete).await;
    }
    let sending = join_all(
        during
            .iter()
            .map(|request| send_through_all_routers(&fleet, request)),
    );
    let ((), responses) = tokio::join!(fleet.configure_server(0, 1), sending);
    for router in 0..2 {
        fleet.wait_connected_to(router, &fleet.sidecars[1]).await;
    }
    for request in &before {
        expect_not_run_again(&fleet, request, &[CallOutcome::Ran]).await;
    }
    for (request, responses) in during.iter().zip(responses) {
        wait::until("a response that the call ran", async || {
            let response = request.send(fleet.caller_address(1)).await;
            let has_run = matches!(
                response.call_outcome,
                CallOutcome::Complete | CallOutcome::Ran
            );
            has_run.then_some(()).ok_or(format!("{response:?}"))
        })
        .await;
        expect_that!(fleet.start_count(&request.op), eq(1), "{responses:?}");
    }
    let next = request_with_moved_key(24);
    retry_until(&fleet, 0, &next, CallOutcome::Complete).await;
    expect_that!(fleet.backends[1].runs(&next.op), len(eq(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_run_once_when_their_home_is_drained() {
    let fleet = Fleet::spawn(Setup {
        services: 2,
        ..one_service()
    })
    .await;
    let done = Request::booking_at(&POOL, POOL[0], 0);
    retry_until(&fleet, 0, &done, CallOutcome::Complete).await;
    let request = Request::booking_at(&POOL, POOL[0], 1);
    let pending = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    fleet.run_command(1, "server drain booking-0").await;
    for response in send_through_all_routers(&fleet, &request).await {
        expect_that!(
            response.call_outcome,
            any![
                eq(CallOutcome::Complete),
                eq(CallOutcome::Ran),
                eq(CallOutcome::Unknown)
            ],
            "{response:?}"
        );
    }
    expect_that!(
        pending.await.unwrap().call_outcome,
        eq(CallOutcome::Complete)
    );
    let next = Request::booking_at(&POOL, POOL[0], 2);
    for router in 0..2 {
        retry_until(&fleet, router, &next, CallOutcome::Complete).await;
    }
    expect_that!(fleet.backends[1].runs(&next.op), len(eq(1)));
    for request in [&done, &request] {
        expect_not_run_again(&fleet, request, &[CallOutcome::Ran]).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delayed_request_to_a_former_home_does_not_run_the_key_again() {
    let fleet = Fleet::spawn(Setup {
        with_sidecar_relays: true,
        ..second_server_unconfigured()
    })
    .await;
    let request_with_moved_key = |n: u64| Request::booking_at(&POOL, POOL[1], n);
    retry_until(&fleet, 1, &request_with_moved_key(0), CallOutcome::Complete).await;
    let [_, data] = &fleet.sidecar_relays[0];
    data.buffer();
    let request = request_with_moved_key(1);
    let late = request.spawn(fleet.caller_address(1));
    fleet.routers[1]
        .wait_event(Event::Routed, |line| {
            line["server"] == POOL[0] && line["waited_ms"].is_u64()
        })
        .await;
    fleet.configure_server(0, 1).await;
    fleet.wait_connected_to(0, &fleet.sidecars[1]).await;
    retry_until(&fleet, 0, &request, CallOutcome::Complete).await;
    data.resume();
    let late = late.await.unwrap();
    expect_that!(late.call_outcome, eq(CallOutcome::Complete), "{late:?}");
    expect_that!(fleet.start_count(&request.op), eq(1), "{late:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_restarted_router_are_refused_during_a_kv_outage() {
    let fleet = Fleet::spawn(one_service()).await;
    retry_until(
        &fleet,
        0,
        &Request::booking("a").with_key(),
        CallOutcome::Complete,
    )
    .await;
    retry_until(
        &fleet,
        1,
        &Request::booking("b").with_key(),
        CallOutcome::Complete,
    )
    .await;
    fleet.kv.set_faults(&outage(true));
    let request = Request::booking("slot").with_key();
    send_through_all_routers(&fleet, &request).await;
    retry_until(&fleet, 0, &request, CallOutcome::Complete).await;
    // The restarted router cannot be added to the home record during the outage.
    fleet.routers[1].kill().await;
    fleet.routers[1].restart();
    fleet.wait_connected(1).await;
    expect_not_run_again(&fleet, &request, &[CallOutcome::Complete]).await;
    let next = Request::booking("next").with_key();
    let refused = next.send(fleet.caller_address(1)).await;
    expect_that!(refused.refusal(), eq((503, "keys_full", "unknown")));
    expect_that!(fleet.start_count(&next.op), eq(0));
    fleet.kv.set_faults(&outage(false));
    retry_until(&fleet, 1, &next, CallOutcome::Complete).await;
}
