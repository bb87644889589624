//! When a caller is told "not run", the request truly did not run.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_model::{Attempt, Outcome};
use mulberryyoke_standin::fleet::call::End;
use mulberryyoke_wire::connect_router;
use serde_json::json;

use crate::common::{Fleet, Request, Response, Setup, Stream, wait};

/// Tokens of an answer that lasts until it is cut off.
const ENDLESS: u32 = 100_000;

/// Time of a call that outlasts what a router waits for.
const LONG: Duration = Duration::from_secs(3);

/// Most tries at freezing a sidecar at the right instant.
const ROUNDS: usize = 5;

fn engine() -> Setup {
    Setup {
        engines: 1,
        slots: 1,
        ..Setup::default()
    }
}

fn service() -> Setup {
    Setup {
        services: 1,
        router_settings: json!({"heartbeat_ms": 250}),
        ..Setup::default()
    }
}

/// An instant in the time of day, in milliseconds.
fn in_ms(ms: u128) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (now.as_millis() + ms).to_string()
}

/// Waits until an outcome is known; it must be the truth.
async fn expect_truth(fleet: &Fleet, router: usize, request: &Request, id: &str) {
    let told = wait::until(&format!("an outcome of {}", request.op), async || {
        let told = fleet.outcome(router, id).await;
        let known = told == "not-run" || told == "ran";
        known.then(|| told.clone()).ok_or(told)
    })
    .await;
    let ran = fleet.start_count(&request.op) > 0;
    expect_that!(
        told,
        eq(if ran { "ran" } else { "not-run" }),
        "{}",
        request.op
    );
}

/// Nothing of what was told not to have run may have run.
fn expect_not_run(fleet: &Fleet, requests: &[Request], responses: &[Response]) {
    for (request, response) in requests.iter().zip(responses) {
        if response.end == End::NotRun {
            expect_that!(fleet.start_count(&request.op), eq(0), "{response:?}");
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_refused_by_a_full_queue_do_not_run() {
    let fleet = Fleet::spawn(Setup {
        router_settings: json!({"limits": {"queue_per_customer": 4}}),
        ..engine()
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
            .filter(|response| response.end == End::Whole)
            .count(),
        ge(4)
    );
    expect_not_run(&fleet, &requests, &responses);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_whose_deadline_passes_in_the_queue_does_not_run() {
    let fleet = Fleet::spawn(engine()).await;
    let running = Stream::open(&Request::chat("long", ENDLESS), fleet.caller_address(0)).await;
    let request = Request::chat("late", 4).with_header("x-deadline", in_ms(300));
    let response = request.send(fleet.caller_address(1)).await;
    expect_that!(response.refusal(), eq((504, "deadline_passed", "not-run")));
    expect_that!(fleet.outcome(0, &response.id).await, eq("not-run"));
    drop(running);
    // What is asked next gets the slot; the late one never does.
    let next = Request::chat("next", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.end, eq(End::Whole));
    expect_that!(fleet.start_count(&request.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_correct_after_the_deadline_passes_at_the_backend() {
    let fleet = Fleet::spawn(Setup {
        latency: LONG,
        ..service()
    })
    .await;
    let request = Request::booking("slot").with_header("x-deadline", in_ms(1_000));
    let response = request.send(fleet.caller_address(0)).await;
    expect_that!(response.refusal(), eq((504, "deadline_passed", "unknown")));
    expect_that!(fleet.start_count(&request.op), eq(1));
    expect_truth(&fleet, 1, &request, &response.id).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_queued_at_a_stopping_router_do_not_run() {
    let fleet = Fleet::spawn(Setup {
        router_settings: json!({"drain_ms": 1_000}),
        ..engine()
    })
    .await;
    let running = Stream::open(&Request::chat("long", ENDLESS), fleet.caller_address(1)).await;
    let requests: Vec<Request> = (0..4).map(|n| Request::chat(&format!("{n}"), 4)).collect();
    let waiting: Vec<_> = requests
        .iter()
        .map(|request| request.spawn(fleet.caller_address(0)))
        .collect();
    let queued = || fleet.routers[0].events(Event::Queued).len() == requests.len();
    wait::until_true("all wait", queued).await;
    expect_that!(fleet.routers[0].stop().await, some(eq(0)));
    let responses = join_all(waiting).await;
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
    expect_that!(next.end, eq(End::Whole));
    expect_not_run(&fleet, &requests, &responses);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_correct_after_the_sidecar_is_suspended_before_it_calls_the_backend() {
    for _ in 0..ROUNDS {
        if frozen_between().await {
            return;
        }
    }
    fail!("the sidecar gave up connecting, {ROUNDS} times").unwrap();
}

/// Returns whether the call was made in the end: a sidecar that is frozen for
/// longer than it waits for a connection does not make it.
async fn frozen_between() -> bool {
    let mut fleet = Fleet::spawn(Setup {
        block_backends: true,
        ..service()
    })
    .await;
    let request = Request::booking("slot");
    let first = request.spawn(fleet.caller_address(0));
    fleet.sidecars[0].wait_event(Event::Started, |_| true).await;
    fleet.sidecars[0].suspend();
    // The connection is set up only now, and the sidecar sends nothing on it.
    fleet.unblock_backend(0).await;
    let response = first.await.unwrap();
    expect_that!(response.refusal(), eq((502, "outcome_unknown", "unknown")));
    expect_that!(fleet.outcome(0, &response.id).await, eq("unknown"));
    expect_that!(fleet.start_count(&request.op), eq(0));
    fleet.sidecars[0].resume();
    expect_truth(&fleet, 0, &request, &response.id).await;
    fleet.start_count(&request.op) > 0
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_correct_after_the_sidecar_is_suspended_before_admission() {
    let fleet = Fleet::spawn(service()).await;
    fleet.sidecars[0].suspend();
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
    expect_that!(responses, contains(field!(&Response.end, eq(End::Unknown))));
    fleet.sidecars[0].resume();
    fleet.wait_reconnected(0, 0).await;
    let next = Request::booking("next").send(fleet.caller_address(1)).await;
    expect_that!(next.end, eq(End::Whole), "{next:?}");
    for (request, response) in requests.iter().zip(&responses) {
        expect_truth(&fleet, 0, request, &response.id).await;
    }
    expect_not_run(&fleet, &requests, &responses);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_arrives_after_its_withdrawal_does_not_run() {
    let fleet = Fleet::spawn(Setup {
        with_sidecar_relays: true,
        ..service()
    })
    .await;
    let [control, data] = &fleet.sidecar_relays[0];
    control.hold();
    data.hold();
    let request = Request::booking("slot");
    let response = request.send(fleet.caller_address(0)).await;
    expect_that!(response.refusal(), eq((502, "outcome_unknown", "unknown")));
    data.stop();
    control.release();
    let withdrawn = fleet.sidecars[0]
        .wait_event(Event::Withdrawn, |_| true)
        .await;
    expect_that!(withdrawn["outcome"].as_str(), some(eq("not-run")));
    wait::until("the withdrawal to be known", async || {
        let told = fleet.outcome(0, &response.id).await;
        (told == "not-run").then_some(()).ok_or(told)
    })
    .await;
    data.pass_late();
    let turned_away = fleet.sidecars[0]
        .wait_event(Event::Rejected, |_| true)
        .await;
    expect_that!(turned_away["verdict"].as_str(), some(eq("tombstone")));
    expect_that!(fleet.start_count(&request.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_correct_after_the_data_link_is_cut_during_the_call() {
    let fleet = Fleet::spawn(Setup {
        with_sidecar_relays: true,
        latency: LONG / 3,
        ..service()
    })
    .await;
    let request = Request::booking("slot");
    let first = request.spawn(fleet.caller_address(0));
    fleet.wait_started(&request.op, 1).await;
    let [_, data] = &fleet.sidecar_relays[0];
    data.cut();
    data.mend();
    let response = first.await.unwrap();
    expect_that!(response.refusal(), eq((502, "outcome_unknown", "unknown")));
    for router in 0..2 {
        expect_truth(&fleet, router, &request, &response.id).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_key_runs_once_after_a_router_crash_while_the_sidecar_is_suspended() {
    let fleet = Fleet::spawn(service()).await;
    fleet.sidecars[0].suspend();
    let request = Request::booking("slot").with_key();
    let first = request.spawn(fleet.caller_address(0));
    fleet.routers[0].wait_event(Event::Routed, |_| true).await;
    fleet.routers[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    let repeat = request.send(fleet.caller_address(1)).await;
    expect_that!(repeat.outcome.as_str(), eq("unknown"), "{repeat:?}");
    fleet.sidecars[0].resume();
    let end = wait::until("an end", async || {
        let response = request.send(fleet.caller_address(1)).await;
        (response.end == End::Whole)
            .then_some(())
            .ok_or(format!("{response:?}"))
    });
    end.await;
    expect_that!(fleet.start_count(&request.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_router_reports_outcomes_of_earlier_requests_as_unknown() {
    let fleet = Fleet::spawn(service()).await;
    let request = Request::booking("slot");
    let response = request.send(fleet.caller_address(0)).await;
    expect_that!(response.end, eq(End::Whole));
    fleet.routers[0].kill().await;
    fleet.routers[0].start();
    fleet.wait_connected(0).await;
    let refused = Request::chat("slot", 4).send(fleet.caller_address(0)).await;
    expect_that!(refused.refusal(), eq((503, "no_server", "not-run")));
    // Its first request, as the one that ran was the first of the earlier life.
    let [ran, refused] =
        [response, refused].map(|response| Attempt::parse_request_id(&response.id).unwrap());
    expect_that!(refused.request, eq(ran.request));
    let client = connect_router(fleet.router_relays[0].address, Arc::default()).await;
    let asked = client
        .unwrap()
        .outcome(tarpc::context::current(), ran)
        .await;
    expect_that!(asked.unwrap(), eq(Outcome::Unknown));
    expect_that!(fleet.outcome(1, &ran.request_id()).await, eq("unknown"));
}
