//! Every caller receives the whole answer to its own request, or sees that it
//! does not.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::call::End;
use serde_json::json;

use crate::common::{Fleet, Request, Setup, Stream, wait};

/// Tokens of an answer that is under way when a fault comes.
const TOKENS: u32 = 200;

/// Tokens of an answer that fills every buffer on its way.
const MANY: u32 = 40_000;

const DONE: &str = "[DONE]";

fn engines(engines: usize) -> Setup {
    Setup {
        engines,
        ..Setup::default()
    }
}

/// Waits until some router's caller has some of its answer from a server.
async fn under_way(fleet: &Fleet, server: usize) {
    wait::until_true("an answer under way", || {
        let runs = fleet.backends[server].journal().runs();
        runs.iter().any(|run| run.tokens > 2)
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_truncated_when_the_sidecar_crashes() {
    let fleet = Fleet::spawn(engines(1)).await;
    let mut stream = Stream::open(&Request::chat("a", TOKENS), fleet.caller_address(0)).await;
    stream.read_tokens(3).await;
    fleet.sidecars[0].kill().await;
    let held = stream.read_to_end().await;
    expect_that!(held, err(anything()));
    let cut = fleet.routers[0]
        .wait_event(Event::Truncated, |_| true)
        .await;
    expect_that!(cut["side"].as_str(), some(eq("server")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_truncated_when_the_router_crashes() {
    let fleet = Fleet::spawn(engines(1)).await;
    let mut stream = Stream::open(&Request::chat("a", TOKENS), fleet.caller_address(0)).await;
    stream.read_tokens(3).await;
    fleet.routers[0].kill().await;
    let held = stream.read_to_end().await;
    expect_that!(held, err(anything()));
    // The engine's slot comes free for others.
    let next = Request::chat("b", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.end, eq(End::Whole));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_resume_after_the_engine_connection_is_cut() {
    let fleet = Fleet::spawn(engines(1)).await;
    let requests: Vec<Request> = (0..2)
        .map(|n| Request::chat(&format!("{n}"), TOKENS))
        .collect();
    let sent: Vec<_> = requests
        .iter()
        .map(|request| request.spawn(fleet.caller_address(0)))
        .collect();
    under_way(&fleet, 0).await;
    fleet.backends[0].relay.cut();
    fleet.backends[0].relay.mend();
    for response in join_all(sent).await {
        expect_that!(response.unwrap().end, eq(End::Whole));
    }
    expect_that!(fleet.sidecars[0].events(Event::Resumed), not(is_empty()));
    for request in &requests {
        expect_that!(fleet.start_count(&request.op), eq(1));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_truncated_when_the_engine_stays_unreachable() {
    let fleet = Fleet::spawn(engines(1)).await;
    let mut stream = Stream::open(&Request::chat("a", TOKENS), fleet.caller_address(0)).await;
    stream.read_tokens(3).await;
    fleet.backends[0].relay.cut();
    let held = stream.read_to_end().await;
    expect_that!(held, err(anything()));
    fleet.backends[0].relay.mend();
    let next = Request::chat("b", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.end, any![eq(End::Whole), eq(End::NotRun)], "{next:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_responses_are_dropped_or_their_attempts_withdrawn() {
    let fleet = Fleet::spawn(Setup {
        slots: 8,
        router_settings: json!({"heartbeat_ms": 250}),
        ..engines(2)
    })
    .await;
    fleet.sidecars[0].suspend();
    let requests: Vec<Request> = (0..8).map(|n| Request::chat(&format!("{n}"), 8)).collect();
    let sent: Vec<_> = requests
        .iter()
        .map(|request| request.spawn(fleet.caller_address(0)))
        .collect();
    let responses = join_all(sent).await;
    for response in responses {
        let response = response.unwrap();
        expect_that!(
            response.end,
            any![eq(End::Whole), eq(End::Unknown)],
            "{response:?}"
        );
    }
    let lost = fleet.routers[0].events(Event::Retried);
    expect_that!(lost, not(is_empty()));
    fleet.sidecars[0].resume();
    // What the frozen one answers now, or is told not to run, reaches nobody.
    let told = |event| {
        let events = [&fleet.routers[0], &fleet.sidecars[0]].map(|node| node.events(event));
        events.concat().len()
    };
    wait::until_true(
        "late answers to be dropped or their attempts withdrawn",
        || told(Event::Dropped) + told(Event::Withdrawn) >= lost.len(),
    )
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_caller_gets_a_wrong_response_while_sidecars_are_suspended_and_killed() {
    let fleet = Fleet::spawn(Setup {
        slots: 8,
        router_settings: json!({"heartbeat_ms": 250}),
        ..engines(3)
    })
    .await;
    let requests: Vec<Request> = (0..48)
        .map(|n| Request::chat(&format!("{n}"), 30 + n % 7))
        .collect();
    let calls = requests.iter().enumerate();
    let sent: Vec<_> = calls
        .map(|(n, request)| request.spawn(fleet.caller_address(n % 2)))
        .collect();
    under_way(&fleet, 0).await;
    fleet.sidecars[0].suspend();
    under_way(&fleet, 1).await;
    fleet.sidecars[1].kill().await;
    fleet.routers[0]
        .wait_event(Event::LinkDown, |line| line["server"] == "assistant-0")
        .await;
    fleet.sidecars[0].resume();
    fleet.sidecars[1].start();
    let mut whole = 0;
    for (request, response) in requests.iter().zip(join_all(sent).await) {
        let response = response.unwrap();
        expect_that!(
            response.end,
            any![eq(End::Whole), eq(End::Unknown), eq(End::NotRun)],
            "{}: {response:?}",
            request.op
        );
        whole += u32::from(response.end == End::Whole);
    }
    // The third server's answers at least.
    expect_that!(whole, ge(8));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn equal_keys_of_two_customers_get_separate_responses() {
    let fleet = Fleet::spawn(Setup {
        services: 1,
        ..Setup::default()
    })
    .await;
    let key = |request: Request| request.with_header("idempotency-key", "one");
    let requests = [
        key(Request::booking("slot")),
        key(Request::booking("slot").for_customer("families")),
    ];
    for round in 0..2 {
        for request in &requests {
            let response = request.send(fleet.caller_address(round)).await;
            expect_that!(response.end, eq(End::Whole), "{response:?}");
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_reader_gets_the_complete_response() {
    let fleet = Fleet::spawn(Setup {
        token_time: Duration::ZERO,
        ..engines(1)
    })
    .await;
    let slow = Request::chat("slow", MANY);
    let mut stream = Stream::open(&slow, fleet.caller_address(0)).await;
    stream.read_tokens(1).await;
    // The engine has made it all; the caller reads none of it meanwhile.
    wait::until_true("the whole answer", || {
        let runs = fleet.backends[0].runs(&slow.op);
        runs.iter().any(|run| run.ended > 0)
    })
    .await;
    for n in 0..4 {
        let next = Request::chat(&format!("{n}"), 50)
            .send(fleet.caller_address(0))
            .await;
        expect_that!(next.end, eq(End::Whole));
    }
    let held = stream.read_to_end().await.unwrap();
    expect_that!(held.matches("\"content\"").count(), eq(MANY as usize));
    expect_that!(held.contains(DONE), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_truncated_when_the_caller_stops_reading() {
    let fleet = Fleet::spawn(Setup {
        token_time: Duration::ZERO,
        router_settings: json!({"limits": {"stall_ms": 500}}),
        ..engines(1)
    })
    .await;
    let mut stream = Stream::open(&Request::chat("slow", MANY), fleet.caller_address(0)).await;
    stream.read_tokens(1).await;
    let cut = fleet.routers[0]
        .wait_event(Event::Truncated, |_| true)
        .await;
    expect_that!(cut["side"].as_str(), some(eq("caller")));
    expect_that!(stream.read_to_end().await, err(anything()));
}
