//! A caller receives the complete response to its own request, or can tell that it
//! did not.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::call::CallOutcome;
use serde_json::json;

use crate::common::{Fleet, Request, Setup, Stream, wait};

/// Length, in tokens, of a response that is streaming when a fault occurs.
const RESPONSE_TOKENS: u32 = 200;

/// Length, in tokens, of a response that exceeds all buffers between engine and caller.
const LARGE_TOKENS: u32 = 40_000;

/// Time for which an engine keeps a stream that nobody reads, longer than any pause of a sidecar on a
/// busy machine.
const PATIENT_ENGINE: Duration = Duration::from_secs(10);

/// Data of the last event of a complete stream.
const DONE: &str = "[DONE]";

fn with_engines(engines: usize) -> Setup {
    Setup {
        engines,
        ..Setup::default()
    }
}

/// Waits until a server is streaming a response.
async fn wait_streaming(fleet: &Fleet, server: usize) {
    wait::until_true("a streaming response", || {
        let runs = fleet.backends[server].journal().runs();
        runs.iter().any(|run| run.tokens > 2)
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_truncated_when_the_sidecar_crashes() {
    let fleet = Fleet::spawn(with_engines(1)).await;
    let mut stream = Stream::open(
        &Request::chat("a", RESPONSE_TOKENS),
        fleet.caller_address(0),
    )
    .await;
    stream.read_tokens(3).await;
    fleet.sidecars[0].kill().await;
    let body = stream.read_to_end().await;
    expect_that!(body, err(anything()));
    let truncated = fleet.routers[0]
        .wait_event(Event::Truncated, |_| true)
        .await;
    expect_that!(truncated["side"].as_str(), some(eq("server")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_truncated_when_the_router_crashes() {
    let fleet = Fleet::spawn(with_engines(1)).await;
    let mut stream = Stream::open(
        &Request::chat("a", RESPONSE_TOKENS),
        fleet.caller_address(0),
    )
    .await;
    stream.read_tokens(3).await;
    fleet.routers[0].kill().await;
    let body = stream.read_to_end().await;
    expect_that!(body, err(anything()));
    // The engine slot is released for other requests.
    let next = Request::chat("b", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.call_outcome, eq(CallOutcome::Complete));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_resume_after_the_engine_connection_is_cut() {
    let fleet = Fleet::spawn(Setup {
        resume_timeout: PATIENT_ENGINE,
        ..with_engines(1)
    })
    .await;
    let requests: Vec<Request> = (0..2)
        .map(|n| Request::chat(&format!("{n}"), RESPONSE_TOKENS))
        .collect();
    // A stream of which nothing has reached the sidecar is not resumed but runs again.
    let streams = requests.iter().map(async |request| {
        let mut stream = Stream::open(request, fleet.caller_address(0)).await;
        stream.read_tokens(3).await;
        stream
    });
    let streams = join_all(streams).await;
    fleet.backends[0].relay.block();
    fleet.backends[0].relay.unblock();
    for (request, stream) in requests.iter().zip(streams) {
        let body = stream.read_to_end().await;
        let outcome = body.map(|body| request.classify_body(&body));
        expect_that!(outcome, ok(eq(&CallOutcome::Complete)));
    }
    expect_that!(fleet.sidecars[0].events(Event::Resumed).len(), eq(2));
    for request in &requests {
        expect_that!(fleet.start_count(&request.op), eq(1));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_truncated_when_the_engine_stays_unreachable() {
    let fleet = Fleet::spawn(with_engines(1)).await;
    let mut stream = Stream::open(
        &Request::chat("a", RESPONSE_TOKENS),
        fleet.caller_address(0),
    )
    .await;
    stream.read_tokens(3).await;
    fleet.backends[0].relay.block();
    let body = stream.read_to_end().await;
    expect_that!(body, err(anything()));
    fleet.backends[0].relay.unblock();
    let next = Request::chat("b", 4).send(fleet.caller_address(1)).await;
    expect_that!(
        next.call_outcome,
        any![eq(CallOutcome::Complete), eq(CallOutcome::NotRun)],
        "{next:?}"
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_responses_are_dropped_or_their_attempts_withdrawn() {
    let fleet = Fleet::spawn(Setup {
        slots: 8,
        router_settings: json!({"heartbeat_ms": 250}),
        with_sidecar_relays: true,
        ..with_engines(2)
    })
    .await;
    // The router sends nothing to a sidecar that is silent, so the requests are sent before the
    // suspension and reach the sidecar during it.
    let [_, data_relay] = &fleet.sidecar_relays[0];
    data_relay.buffer();
    let requests: Vec<Request> = (0..8).map(|n| Request::chat(&format!("{n}"), 8)).collect();
    let pending: Vec<_> = requests
        .iter()
        .map(|request| request.spawn(fleet.caller_address(0)))
        .collect();
    fleet.routers[0]
        .wait_event(Event::Routed, |line| line["server"] == "assistant-0")
        .await;
    fleet.sidecars[0].suspend().await;
    data_relay.resume();
    let responses = join_all(pending).await;
    for response in responses {
        let response = response.unwrap();
        expect_that!(
            response.call_outcome,
            any![eq(CallOutcome::Complete), eq(CallOutcome::Unknown)],
            "{response:?}"
        );
    }
    let retried = fleet.routers[0].events(Event::Retried);
    expect_that!(retried, not(is_empty()));
    fleet.sidecars[0].resume();
    // No caller gets the late responses of the resumed sidecar.
    let event_count = |event| {
        let events = [&fleet.routers[0], &fleet.sidecars[0]].map(|node| node.events(event));
        events.concat().len()
    };
    wait::until_true(
        "late responses to be dropped or their attempts withdrawn",
        || event_count(Event::Dropped) + event_count(Event::Withdrawn) >= retried.len(),
    )
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_caller_gets_a_wrong_response_while_sidecars_are_suspended_and_killed() {
    let fleet = Fleet::spawn(Setup {
        slots: 8,
        router_settings: json!({"heartbeat_ms": 250}),
        ..with_engines(3)
    })
    .await;
    let requests: Vec<Request> = (0..48)
        .map(|n| Request::chat(&format!("{n}"), 30 + n % 7))
        .collect();
    let calls = requests.iter().enumerate();
    let pending: Vec<_> = calls
        .map(|(n, request)| request.spawn(fleet.caller_address(n % 2)))
        .collect();
    wait_streaming(&fleet, 0).await;
    fleet.sidecars[0].suspend().await;
    wait_streaming(&fleet, 1).await;
    fleet.sidecars[1].kill().await;
    fleet.routers[0]
        .wait_event(Event::LinkDown, |line| line["server"] == "assistant-0")
        .await;
    fleet.sidecars[0].resume();
    fleet.sidecars[1].restart();
    let mut complete = 0;
    for (request, response) in requests.iter().zip(join_all(pending).await) {
        let response = response.unwrap();
        expect_that!(
            response.call_outcome,
            any![
                eq(CallOutcome::Complete),
                eq(CallOutcome::Unknown),
                eq(CallOutcome::NotRun)
            ],
            "{}: {response:?}",
            request.op
        );
        complete += u32::from(response.call_outcome == CallOutcome::Complete);
    }
    // At least the requests at the third server complete.
    expect_that!(complete, ge(8));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn equal_keys_of_two_customers_get_separate_responses() {
    let fleet = Fleet::spawn(Setup {
        services: 1,
        ..Setup::default()
    })
    .await;
    let with_shared_key = |request: Request| request.with_header("idempotency-key", "one");
    let requests = [
        with_shared_key(Request::booking("slot")),
        with_shared_key(Request::booking("slot").for_customer("families")),
    ];
    for round in 0..2 {
        for request in &requests {
            let response = request.send(fleet.caller_address(round)).await;
            expect_that!(
                response.call_outcome,
                eq(CallOutcome::Complete),
                "{response:?}"
            );
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_reader_gets_the_complete_response() {
    let fleet = Fleet::spawn(Setup {
        token_time: Duration::ZERO,
        ..with_engines(1)
    })
    .await;
    let slow = Request::chat("slow", LARGE_TOKENS);
    let mut stream = Stream::open(&slow, fleet.caller_address(0)).await;
    stream.read_tokens(1).await;
    // The engine completes the response while the caller reads nothing.
    wait::until_true("the complete response", || {
        let runs = fleet.backends[0].runs(&slow.op);
        runs.iter().any(|run| run.ended > 0)
    })
    .await;
    for n in 0..4 {
        let next = Request::chat(&format!("{n}"), 50)
            .send(fleet.caller_address(0))
            .await;
        expect_that!(next.call_outcome, eq(CallOutcome::Complete));
    }
    let body = stream.read_to_end().await.unwrap();
    expect_that!(
        body.matches("\"content\"").count(),
        eq(LARGE_TOKENS as usize)
    );
    expect_that!(body.contains(DONE), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_truncated_when_the_caller_stops_reading() {
    let fleet = Fleet::spawn(Setup {
        token_time: Duration::ZERO,
        router_settings: json!({"limits": {"stall_ms": 500}}),
        ..with_engines(1)
    })
    .await;
    let mut stream = Stream::open(
        &Request::chat("slow", LARGE_TOKENS),
        fleet.caller_address(0),
    )
    .await;
    stream.read_tokens(1).await;
    let truncated = fleet.routers[0]
        .wait_event(Event::Truncated, |_| true)
        .await;
    expect_that!(truncated["side"].as_str(), some(eq("caller")));
    expect_that!(stream.read_to_end().await, err(anything()));
}
