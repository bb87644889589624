//! A request reported as not run did not run.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_model::{Attempt, Outcome};
use mulberryyoke_standin::fleet::call::CallOutcome;
use mulberryyoke_wire::connect_router;
use serde_json::json;

use crate::common::{Fleet, Request, Response, Setup, Stream, wait};

/// Length, in tokens, of a response that does not end within a test.
const ENDLESS_TOKENS: u32 = 100_000;

/// Duration of a call that outlasts the deadline of its request.
const SLOW_CALL: Duration = Duration::from_secs(3);

/// Maximum number of attempts to suspend a sidecar at the right time.
const MAX_ATTEMPTS: usize = 5;

fn one_engine() -> Setup {
    Setup {
        engines: 1,
        slots: 1,
        ..Setup::default()
    }
}

fn one_service() -> Setup {
    Setup {
        services: 1,
        router_settings: json!({"heartbeat_ms": 250}),
        ..Setup::default()
    }
}

/// Deadline `ms` milliseconds from now, in milliseconds since the Unix epoch.
fn deadline_in(ms: u128) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (now.as_millis() + ms).to_string()
}

/// Waits until the outcome of a request is known, and compares it with the backend.
async fn expect_correct_outcome(fleet: &Fleet, router: usize, request: &Request, id: &str) {
    let outcome = wait::until(&format!("the outcome of {}", request.op), async || {
        let outcome = fleet.outcome(router, id).await;
        let is_known = outcome == "not-run" || outcome == "ran";
        is_known.then(|| outcome.clone()).ok_or(outcome)
    })
    .await;
    let ran = fleet.start_count(&request.op) > 0;
    expect_that!(
        outcome,
        eq(if ran { "ran" } else { "not-run" }),
        "{}",
        request.op
    );
}

/// Expects that requests reported as not run did not run.
fn expect_not_run(fleet: &Fleet, requests: &[Request], responses: &[Response]) {
    for (request, response) in requests.iter().zip(responses) {
        if response.call_outcome == CallOutcome::NotRun {
            expect_that!(fleet.start_count(&request.op), eq(0), "{response:?}");
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_refused_by_a_full_queue_do_not_run() {
    let fleet = Fleet::spawn(Setup {
        router_settings: json!({"limits": {"queue_per_customer": 4}}),
        ..one_engine()
    })
    .await;
    let requests: Vec<Request> = (0..40).map(|n| Request::chat(&format!("{n}"), 4)).collect();
    let responses = join_all(
        requests
            .iter()
            .map(|request| request.send(fleet.caller_address(0))),
    )
    .await;
    let refused = responses.iter().filter(|response| response.status == 429);
    for response in refused.clone() {
        expect_that!(response.refusal(), eq((429, "queue_full", "not-run")));
        expect_that!(response.retry_after, some(ge(1)));
    }
    expect_that!(refused.count(), ge(1));
    expect_that!(
        responses
            .iter()
            .filter(|response| response.call_outcome == CallOutcome::Complete)
            .count(),
        ge(4)
    );
    expect_not_run(&fleet, &requests, &responses);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_whose_deadline_passes_in_the_queue_does_not_run() {
    let fleet = Fleet::spawn(one_engine()).await;
    let running = Stream::open(
        &Request::chat("long", ENDLESS_TOKENS),
        fleet.caller_address(0),
    )
    .await;
    let request = Request::chat("late", 4).with_header("x-deadline", deadline_in(300));
    let response = request.send(fleet.caller_address(1)).await;
    expect_that!(response.refusal(), eq((504, "deadline_passed", "not-run")));
    expect_that!(fleet.outcome(0, &response.id).await, eq("not-run"));
    drop(running);
    // The next request gets the free slot; the expired one is never started.
    let next = Request::chat("next", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.call_outcome, eq(CallOutcome::Complete));
    expect_that!(fleet.start_count(&request.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_correct_after_the_deadline_passes_at_the_backend() {
    let fleet = Fleet::spawn(Setup {
        latency: SLOW_CALL,
        ..one_service()
    })
    .await;
    let request = Request::booking("slot").with_header("x-deadline", deadline_in(1_000));
    let response = request.send(fleet.caller_address(0)).await;
    expect_that!(response.refusal(), eq((504, "deadline_passed", "unknown")));
    expect_that!(fleet.start_count(&request.op), eq(1));
    expect_correct_outcome(&fleet, 1, &request, &response.id).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_queued_at_a_stopping_router_do_not_run() {
    let fleet = Fleet::spawn(Setup {
        router_settings: json!({"drain_ms": 1_000}),
        ..one_engine()
    })
    .await;
    let running = Stream::open(
        &Request::chat("long", ENDLESS_TOKENS),
        fleet.caller_address(1),
    )
    .await;
    let requests: Vec<Request> = (0..4).map(|n| Request::chat(&format!("{n}"), 4)).collect();
    let pending: Vec<_> = requests
        .iter()
        .map(|request| request.spawn(fleet.caller_address(0)))
        .collect();
    let are_queued = || fleet.routers[0].events(Event::Queued).len() == requests.len();
    wait::until_true("all requests to be queued", are_queued).await;
    expect_that!(fleet.routers[0].stop().await, some(eq(0)));
    let responses = join_all(pending).await;
    let responses: Vec<Response> = responses
        .into_iter()
        .map(|response| response.unwrap())
        .collect();
    for response in &responses {
        expect_that!(response.refusal(), eq((503, "stopping", "not-run")));
        expect_that!(response.retry_after, some(ge(1)));
    }
    drop(running);
    let next = Request::chat("next", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.call_outcome, eq(CallOutcome::Complete));
    expect_not_run(&fleet, &requests, &responses);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_correct_after_the_sidecar_is_suspended_before_it_calls_the_backend() {
    for _ in 0..MAX_ATTEMPTS {
        if suspend_while_connecting().await {
            return;
        }
    }
    fail!("the sidecar timed out connecting in each of {MAX_ATTEMPTS} attempts").unwrap();
}

/// Suspends the sidecar while it connects to the backend; returns whether it makes the
/// call after it resumes. It does not if its connection timeout has passed.
async fn suspend_while_connecting() -> bool {
    let mut fleet = Fleet::spawn(Setup {
        block_backends: true,
        ..one_service()
    })
    .await;
    let request = Request::booking("slot");
    let pending = request.spawn(fleet.caller_address(0));
    fleet.sidecars[0].wait_event(Event::Started, |_| true).await;
    fleet.sidecars[0].suspend().await;
    // The connection is established, but the suspended sidecar sends nothing.
    fleet.unblock_backend(0).await;
    let response = pending.await.unwrap();
    expect_that!(response.refusal(), eq((502, "outcome_unknown", "unknown")));
    expect_that!(fleet.outcome(0, &response.id).await, eq("unknown"));
    expect_that!(fleet.start_count(&request.op), eq(0));
    fleet.sidecars[0].resume();
    expect_correct_outcome(&fleet, 0, &request, &response.id).await;
    fleet.start_count(&request.op) > 0
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_correct_after_the_sidecar_is_suspended_before_admission() {
    let fleet = Fleet::spawn(one_service()).await;
    fleet.sidecars[0].suspend().await;
    let requests: Vec<Request> = (0..8).map(|n| Request::booking(&format!("{n}"))).collect();
    let responses = join_all(
        requests
            .iter()
            .map(|request| request.send(fleet.caller_address(0))),
    )
    .await;
    for response in &responses {
        expect_that!(
            response.outcome.as_str(),
            any![eq("unknown"), eq("not-run")],
            "{response:?}"
        );
    }
    expect_that!(
        responses,
        contains(field!(&Response.call_outcome, eq(CallOutcome::Unknown)))
    );
    fleet.sidecars[0].resume();
    fleet.wait_reconnected(0, 0).await;
    let next = Request::booking("next").send(fleet.caller_address(1)).await;
    expect_that!(next.call_outcome, eq(CallOutcome::Complete), "{next:?}");
    for (request, response) in requests.iter().zip(&responses) {
        expect_correct_outcome(&fleet, 0, request, &response.id).await;
    }
    expect_not_run(&fleet, &requests, &responses);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_arrives_after_its_withdrawal_does_not_run() {
    let fleet = Fleet::spawn(Setup {
        with_sidecar_relays: true,
        ..one_service()
    })
    .await;
    let [control, data] = &fleet.sidecar_relays[0];
    control.buffer();
    data.buffer();
    let request = Request::booking("slot");
    let response = request.send(fleet.caller_address(0)).await;
    expect_that!(response.refusal(), eq((502, "outcome_unknown", "unknown")));
    data.stop_reading();
    control.resume();
    let withdrawn = fleet.sidecars[0]
        .wait_event(Event::Withdrawn, |_| true)
        .await;
    expect_that!(withdrawn["outcome"].as_str(), some(eq("not-run")));
    wait::until("the withdrawal to be reported", async || {
        let outcome = fleet.outcome(0, &response.id).await;
        (outcome == "not-run").then_some(()).ok_or(outcome)
    })
    .await;
    data.flush();
    let rejected = fleet.sidecars[0]
        .wait_event(Event::Rejected, |_| true)
        .await;
    expect_that!(rejected["verdict"].as_str(), some(eq("tombstone")));
    expect_that!(fleet.start_count(&request.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_correct_after_the_data_link_is_cut_during_the_call() {
    let fleet = Fleet::spawn(Setup {
        with_sidecar_relays: true,
        latency: SLOW_CALL / 3,
        ..one_service()
    })
    .await;
    let request = Request::booking("slot");
    let pending = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    let [_, data] = &fleet.sidecar_relays[0];
    data.block();
    data.unblock();
    let response = pending.await.unwrap();
    expect_that!(response.refusal(), eq((502, "outcome_unknown", "unknown")));
    for router in 0..2 {
        expect_correct_outcome(&fleet, router, &request, &response.id).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_key_runs_once_after_a_router_crash_while_the_sidecar_is_suspended() {
    let fleet = Fleet::spawn(one_service()).await;
    fleet.sidecars[0].suspend().await;
    let request = Request::booking("slot").with_key();
    let pending = request.spawn(fleet.caller_address(0));
    fleet.routers[0].wait_event(Event::Routed, |_| true).await;
    fleet.routers[0].kill().await;
    expect_that!(
        pending.await.unwrap().call_outcome,
        eq(CallOutcome::Unknown)
    );
    let repeat = request.send(fleet.caller_address(1)).await;
    expect_that!(repeat.outcome.as_str(), eq("unknown"), "{repeat:?}");
    fleet.sidecars[0].resume();
    let completed = wait::until("a complete response", async || {
        let response = request.send(fleet.caller_address(1)).await;
        (response.call_outcome == CallOutcome::Complete)
            .then_some(())
            .ok_or(format!("{response:?}"))
    });
    completed.await;
    expect_that!(fleet.start_count(&request.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_router_reports_outcomes_of_earlier_requests_as_unknown() {
    let fleet = Fleet::spawn(one_service()).await;
    let request = Request::booking("slot");
    let response = request.send(fleet.caller_address(0)).await;
    expect_that!(response.call_outcome, eq(CallOutcome::Complete));
    fleet.routers[0].kill().await;
    fleet.routers[0].restart();
    fleet.wait_connected(0).await;
    let refused = Request::chat("slot", 4).send(fleet.caller_address(0)).await;
    expect_that!(refused.refusal(), eq((503, "no_server", "not-run")));
    // Both are the first request of their router instance and have the same number.
    let [ran, refused] =
        [response, refused].map(|response| Attempt::parse_request_id(&response.id).unwrap());
    expect_that!(refused.request, eq(ran.request));
    let client = connect_router(fleet.router_relays[0].address, Arc::default()).await;
    let reported = client
        .unwrap()
        .outcome(tarpc::context::current(), ran)
        .await;
    expect_that!(reported.unwrap(), eq(Outcome::Unknown));
    expect_that!(fleet.outcome(1, &ran.request_id()).await, eq("unknown"));
}
