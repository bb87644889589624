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

use crate::common::{Ask, Fleet, Reply, Setup, Stream, wait};

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
        router: json!({"heartbeat_ms": 250}),
        ..Setup::default()
    }
}

/// An instant in the time of day, in milliseconds.
fn in_ms(ms: u128) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (now.as_millis() + ms).to_string()
}

/// Waits until an outcome is known; it must be the truth.
async fn expect_truth(fleet: &Fleet, router: usize, ask: &Ask, id: &str) {
    let told = wait::until(&format!("an outcome of {}", ask.op), async || {
        let told = fleet.outcome(router, id).await;
        let known = told == "not-run" || told == "ran";
        known.then(|| told.clone()).ok_or(told)
    })
    .await;
    let ran = fleet.starts(&ask.op) > 0;
    expect_that!(told, eq(if ran { "ran" } else { "not-run" }), "{}", ask.op);
}

/// Nothing of what was told not to have run may have run.
fn expect_not_run(fleet: &Fleet, asks: &[Ask], replies: &[Reply]) {
    for (ask, reply) in asks.iter().zip(replies) {
        if reply.end == End::NotRun {
            expect_that!(fleet.starts(&ask.op), eq(0), "{reply:?}");
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_refused_by_a_full_queue_do_not_run() {
    let fleet = Fleet::spawn(Setup {
        router: json!({"limits": {"queue_per_customer": 4}}),
        ..engine()
    })
    .await;
    let asks: Vec<Ask> = (0..40).map(|n| Ask::chat(&format!("{n}"), 4)).collect();
    let replies = join_all(asks.iter().map(|ask| ask.send(fleet.router(0)))).await;
    let refused = replies.iter().filter(|reply| reply.status == 429);
    for reply in refused.clone() {
        expect_that!(reply.refusal(), eq((429, "queue_full", "not-run")));
        expect_that!(reply.retry_after, some(ge(1)));
    }
    expect_that!(refused.count(), ge(1));
    expect_that!(
        replies
            .iter()
            .filter(|reply| reply.end == End::Whole)
            .count(),
        ge(4)
    );
    expect_not_run(&fleet, &asks, &replies);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_whose_deadline_passes_in_the_queue_does_not_run() {
    let fleet = Fleet::spawn(engine()).await;
    let running = Stream::open(&Ask::chat("long", ENDLESS), fleet.router(0)).await;
    let ask = Ask::chat("late", 4).with("x-deadline", in_ms(300));
    let reply = ask.send(fleet.router(1)).await;
    expect_that!(reply.refusal(), eq((504, "deadline_passed", "not-run")));
    expect_that!(fleet.outcome(0, &reply.id).await, eq("not-run"));
    drop(running);
    // What is asked next gets the slot; the late one never does.
    let next = Ask::chat("next", 4).send(fleet.router(1)).await;
    expect_that!(next.end, eq(End::Whole));
    expect_that!(fleet.starts(&ask.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_correct_after_the_deadline_passes_at_the_backend() {
    let fleet = Fleet::spawn(Setup {
        latency: LONG,
        ..service()
    })
    .await;
    let ask = Ask::booking("slot").with("x-deadline", in_ms(1_000));
    let reply = ask.send(fleet.router(0)).await;
    expect_that!(reply.refusal(), eq((504, "deadline_passed", "unknown")));
    expect_that!(fleet.starts(&ask.op), eq(1));
    expect_truth(&fleet, 1, &ask, &reply.id).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_queued_at_a_stopping_router_do_not_run() {
    let fleet = Fleet::spawn(Setup {
        router: json!({"drain_ms": 1_000}),
        ..engine()
    })
    .await;
    let running = Stream::open(&Ask::chat("long", ENDLESS), fleet.router(1)).await;
    let asks: Vec<Ask> = (0..4).map(|n| Ask::chat(&format!("{n}"), 4)).collect();
    let waiting: Vec<_> = asks.iter().map(|ask| ask.spawn(fleet.router(0))).collect();
    let queued = || fleet.routers[0].events(Event::Queued).len() == asks.len();
    wait::holds("all wait", queued).await;
    expect_that!(fleet.routers[0].stop().await, some(eq(0)));
    let replies = join_all(waiting).await;
    let replies: Vec<Reply> = replies.into_iter().map(|reply| reply.unwrap()).collect();
    for reply in &replies {
        expect_that!(reply.refusal(), eq((503, "stopping", "not-run")));
        expect_that!(reply.retry_after, some(ge(1)));
    }
    drop(running);
    let next = Ask::chat("next", 4).send(fleet.router(1)).await;
    expect_that!(next.end, eq(End::Whole));
    expect_not_run(&fleet, &asks, &replies);
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
        gated: true,
        ..service()
    })
    .await;
    let ask = Ask::booking("slot");
    let first = ask.spawn(fleet.router(0));
    fleet.sidecars[0].event(Event::Started, |_| true).await;
    fleet.sidecars[0].freeze();
    // The connection is set up only now, and the sidecar sends nothing on it.
    fleet.open_gate(0).await;
    let reply = first.await.unwrap();
    expect_that!(reply.refusal(), eq((502, "outcome_unknown", "unknown")));
    expect_that!(fleet.outcome(0, &reply.id).await, eq("unknown"));
    expect_that!(fleet.starts(&ask.op), eq(0));
    fleet.sidecars[0].thaw();
    expect_truth(&fleet, 0, &ask, &reply.id).await;
    fleet.starts(&ask.op) > 0
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_correct_after_the_sidecar_is_suspended_before_admission() {
    let fleet = Fleet::spawn(service()).await;
    fleet.sidecars[0].freeze();
    let asks: Vec<Ask> = (0..8).map(|n| Ask::booking(&format!("{n}"))).collect();
    let replies = join_all(asks.iter().map(|ask| ask.send(fleet.router(0)))).await;
    for reply in &replies {
        expect_that!(
            reply.outcome.as_str(),
            any![eq("unknown"), eq("not-run")],
            "{reply:?}"
        );
    }
    expect_that!(replies, contains(field!(&Reply.end, eq(End::Unknown))));
    fleet.sidecars[0].thaw();
    fleet.linked_again(0, 0).await;
    let next = Ask::booking("next").send(fleet.router(1)).await;
    expect_that!(next.end, eq(End::Whole), "{next:?}");
    for (ask, reply) in asks.iter().zip(&replies) {
        expect_truth(&fleet, 0, ask, &reply.id).await;
    }
    expect_not_run(&fleet, &asks, &replies);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_arrives_after_its_withdrawal_does_not_run() {
    let fleet = Fleet::spawn(Setup {
        relayed: true,
        ..service()
    })
    .await;
    let [control, data] = &fleet.links[0];
    control.hold();
    data.hold();
    let ask = Ask::booking("slot");
    let reply = ask.send(fleet.router(0)).await;
    expect_that!(reply.refusal(), eq((502, "outcome_unknown", "unknown")));
    data.stop();
    control.release();
    let withdrawn = fleet.sidecars[0].event(Event::Withdrawn, |_| true).await;
    expect_that!(withdrawn["outcome"].as_str(), some(eq("not-run")));
    wait::until("the withdrawal to be known", async || {
        let told = fleet.outcome(0, &reply.id).await;
        (told == "not-run").then_some(()).ok_or(told)
    })
    .await;
    data.pass_late();
    let turned_away = fleet.sidecars[0].event(Event::Rejected, |_| true).await;
    expect_that!(turned_away["verdict"].as_str(), some(eq("tombstone")));
    expect_that!(fleet.starts(&ask.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_is_correct_after_the_data_link_is_cut_during_the_call() {
    let fleet = Fleet::spawn(Setup {
        relayed: true,
        latency: LONG / 3,
        ..service()
    })
    .await;
    let ask = Ask::booking("slot");
    let first = ask.spawn(fleet.router(0));
    fleet.started(&ask.op, 1).await;
    let [_, data] = &fleet.links[0];
    data.cut();
    data.mend();
    let reply = first.await.unwrap();
    expect_that!(reply.refusal(), eq((502, "outcome_unknown", "unknown")));
    for router in 0..2 {
        expect_truth(&fleet, router, &ask, &reply.id).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_key_runs_once_after_a_router_crash_while_the_sidecar_is_suspended() {
    let fleet = Fleet::spawn(service()).await;
    fleet.sidecars[0].freeze();
    let ask = Ask::booking("slot").keyed();
    let first = ask.spawn(fleet.router(0));
    fleet.routers[0].event(Event::Routed, |_| true).await;
    fleet.routers[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    let repeat = ask.send(fleet.router(1)).await;
    expect_that!(repeat.outcome.as_str(), eq("unknown"), "{repeat:?}");
    fleet.sidecars[0].thaw();
    let end = wait::until("an end", async || {
        let reply = ask.send(fleet.router(1)).await;
        (reply.end == End::Whole)
            .then_some(())
            .ok_or(format!("{reply:?}"))
    });
    end.await;
    expect_that!(fleet.starts(&ask.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_router_reports_outcomes_of_earlier_requests_as_unknown() {
    let fleet = Fleet::spawn(service()).await;
    let ask = Ask::booking("slot");
    let reply = ask.send(fleet.router(0)).await;
    expect_that!(reply.end, eq(End::Whole));
    fleet.routers[0].kill().await;
    fleet.routers[0].start();
    fleet.linked(0).await;
    let refused = Ask::chat("slot", 4).send(fleet.router(0)).await;
    expect_that!(refused.refusal(), eq((503, "no_server", "not-run")));
    // Its first request, as the one that ran was the first of the earlier life.
    let [ran, refused] =
        [reply, refused].map(|reply| Attempt::parse_request_id(&reply.id).unwrap());
    expect_that!(refused.request, eq(ran.request));
    let client = connect_router(fleet.peers[0].address, Arc::default()).await;
    let asked = client
        .unwrap()
        .outcome(tarpc::context::current(), ran)
        .await;
    expect_that!(asked.unwrap(), eq(Outcome::Unknown));
    expect_that!(fleet.outcome(1, &ran.request_id()).await, eq("unknown"));
}
