//! A planned stop cuts off no request in progress.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::call::End;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::common::{Fleet, Node, Request, Response, Setup, Stream, wait};

/// Tokens of an answer that is under way when the stop begins.
const TOKENS: u32 = 100;

/// Tokens of an answer that lasts until it is cut off.
const ENDLESS: u32 = 100_000;

/// Time of a call that is under way when the stop begins.
const LATENCY: Duration = Duration::from_millis(800);

/// No router.
const NONE: usize = usize::MAX;

fn mixed() -> Setup {
    Setup {
        engines: 2,
        services: 1,
        slots: 4,
        latency: LATENCY,
        ..Setup::default()
    }
}

fn drain(drain_ms: u64) -> serde_json::Value {
    json!({"drain_ms": drain_ms})
}

/// Answers of all kinds, begun at a router and under way.
async fn begin(fleet: &Fleet, router: usize) -> Vec<tokio::task::JoinHandle<Response>> {
    let chats = (0..6).map(|n| Request::chat(&format!("{n}"), TOKENS));
    let bookings = [Request::booking("a"), Request::booking("b").with_key()];
    let requests: Vec<Request> = chats.chain(bookings).collect();
    let sent = requests
        .iter()
        .map(|request| request.spawn(fleet.caller_address(router)));
    let sent: Vec<_> = sent.collect();
    for request in &requests {
        fleet.wait_started(&request.op, 1).await;
    }
    sent
}

async fn expect_whole(sent: Vec<tokio::task::JoinHandle<Response>>) {
    for response in join_all(sent).await {
        let response = response.unwrap();
        expect_that!(response.end, eq(End::Whole), "{response:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_complete_when_their_router_stops() {
    let fleet = Fleet::spawn(mixed()).await;
    let sent = begin(&fleet, 0).await;
    expect_that!(fleet.routers[0].stop().await, some(eq(0)));
    expect_whole(sent).await;
    expect_that!(fleet.routers[0].events(Event::Truncated), is_empty());
    let refused = Request::chat("next", 4).send(fleet.caller_address(0)).await;
    expect_that!(refused.end, eq(End::NotRun));
    let next = Request::chat("next", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.end, eq(End::Whole));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_complete_when_their_sidecars_stop() {
    let fleet = Fleet::spawn(mixed()).await;
    let sent = begin(&fleet, 0).await;
    let stops = [&fleet.sidecars[0], &fleet.sidecars[2]].map(Node::stop);
    let requests: Vec<Request> = (6..18).map(|n| Request::chat(&format!("{n}"), 4)).collect();
    let asked = join_all(
        requests
            .iter()
            .map(|request| request.send(fleet.caller_address(1))),
    );
    let (codes, responses) = tokio::join!(join_all(stops), asked);
    expect_that!(codes, each(some(eq(&0))));
    expect_whole(sent).await;
    for response in responses {
        expect_that!(response.end, eq(End::Whole), "{response:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_complete_when_router_and_sidecars_stop_during_a_kv_outage() {
    let fleet = Fleet::spawn(mixed()).await;
    let sent = begin(&fleet, 0).await;
    fleet.kv.switch(&mulberryyoke_standin::kv::Switch {
        outage: Some(true),
        ..Default::default()
    });
    let stops = [&fleet.routers[0], &fleet.sidecars[0], &fleet.sidecars[2]];
    let codes = join_all(stops.map(Node::stop)).await;
    expect_that!(codes, each(some(eq(&0))));
    expect_whole(sent).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn router_aborts_unfinished_streams_at_the_drain_deadline() {
    let fleet = Fleet::spawn(Setup {
        slots: 1,
        router_settings: drain(1_000),
        ..mixed()
    })
    .await;
    let mut streams = Vec::new();
    for n in 0..2 {
        let request = Request::chat(&format!("{n}"), ENDLESS);
        streams.push(Stream::open(&request, fleet.caller_address(0)).await);
    }
    let waiting = Request::chat("waiting", 4);
    let refused = waiting.spawn(fleet.caller_address(0));
    fleet.routers[0].wait_event(Event::Queued, |_| true).await;
    expect_that!(fleet.routers[0].stop().await, some(eq(0)));
    expect_that!(
        refused.await.unwrap().refusal(),
        eq((503, "stopping", "not-run"))
    );
    for stream in streams {
        let id = stream.id.clone();
        expect_that!(stream.read_to_end().await, err(anything()));
        expect_that!(fleet.outcome(1, &id).await, eq("unknown"));
    }
    let next = Request::chat("next", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.end, eq(End::Whole));
    expect_that!(fleet.start_count(&waiting.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_aborted_at_the_sidecars_drain_deadline_is_not_run_again() {
    let fleet = Fleet::spawn(Setup {
        engines: 1,
        latency: LATENCY * 4,
        sidecar_settings: drain(500),
        ..mixed()
    })
    .await;
    let mut stream = Stream::open(&Request::chat("a", ENDLESS), fleet.caller_address(0)).await;
    stream.read_tokens(3).await;
    let booking = Request::booking("b").with_key();
    let first = booking.spawn(fleet.caller_address(0));
    fleet.wait_started(&booking.op, 1).await;
    let stops = join_all(fleet.sidecars.iter().map(Node::stop)).await;
    expect_that!(stops, each(some(eq(&0))));
    expect_that!(stream.read_to_end().await, err(anything()));
    let response = first.await.unwrap();
    expect_that!(response.refusal(), eq((502, "outcome_unknown", "unknown")));
    // The next life knows that it was cut off, and never runs it again.
    fleet.sidecars[1].start();
    fleet.wait_connected_to(1, &fleet.sidecars[1]).await;
    let repeat = booking.send(fleet.caller_address(1)).await;
    expect_that!(repeat.refusal(), eq((502, "outcome_unknown", "unknown")));
    let turned_away = fleet.sidecars[1]
        .wait_event(Event::Rejected, |_| true)
        .await;
    expect_that!(turned_away["verdict"].as_str(), some(eq("broken")));
    expect_that!(fleet.start_count(&booking.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_under_load_completes_every_request() {
    let fleet = Fleet::spawn(Setup {
        slots: 2,
        latency: LATENCY / 8,
        ..mixed()
    })
    .await;
    let balancer = Balancer::default();
    let rolling = async {
        for sidecar in &fleet.sidecars {
            expect_that!(sidecar.stop().await, some(eq(0)), "{}", sidecar.name);
            sidecar.start();
            all_linked(&fleet).await;
        }
        for (index, router) in fleet.routers.iter().enumerate() {
            let (code, ()) = tokio::join!(router.stop(), balancer.leave(&fleet, index));
            expect_that!(code, some(eq(0)), "{}", router.name);
            router.start();
            fleet.wait_connected(index).await;
            all_linked(&fleet).await;
            balancer.out.store(NONE, Ordering::Relaxed);
        }
        balancer.stop.cancel();
    };
    let callers = (0..8).map(|caller| balancer.call_on(&fleet, caller));
    let (ends, ()) = tokio::join!(join_all(callers), rolling);
    let ends = ends.concat();
    expect_that!(ends.len(), ge(8));
    for (op, response) in ends {
        expect_that!(response.end, eq(End::Whole), "{op}: {response:?}");
        expect_that!(fleet.start_count(&op), eq(1), "{op}");
    }
}

async fn all_linked(fleet: &Fleet) {
    for router in 0..fleet.routers.len() {
        for server in 0..fleet.sidecars.len() {
            fleet.wait_reconnected(router, server).await;
        }
    }
}

/// Callers behind the platform's balancer.
#[derive(Debug)]
struct Balancer {
    /// The router that is not ready.
    out: AtomicUsize,
    stop: CancellationToken,
}

impl Default for Balancer {
    fn default() -> Self {
        Self {
            out: AtomicUsize::new(NONE),
            stop: CancellationToken::new(),
        }
    }
}

impl Balancer {
    /// Waits until a router says that it is not ready, and sends it no more.
    async fn leave(&self, fleet: &Fleet, router: usize) {
        wait::until("a router to leave", async || {
            let ready = fleet.is_ready(router).await;
            (!ready).then_some(()).ok_or("it is ready".to_owned())
        })
        .await;
        self.out.store(router, Ordering::Relaxed);
    }

    /// Asks one thing after the other, each until it is not told "not run" any more.
    async fn call_on(&self, fleet: &Fleet, caller: usize) -> Vec<(String, Response)> {
        let mut ends = Vec::new();
        while !self.stop.is_cancelled() {
            let name = format!("{caller}-{}", ends.len());
            let request = match ends.len() % 2 {
                0 => Request::chat(&name, 20),
                _ => Request::booking(&name),
            };
            let mut turn = caller;
            let response = wait::until(&name, async || {
                turn += 1;
                let out = self.out.load(Ordering::Relaxed);
                let router = if turn % 2 == out { 1 - out } else { turn % 2 };
                let response = request.send(fleet.caller_address(router)).await;
                let is_end = response.end != End::NotRun;
                is_end
                    .then(|| response.clone())
                    .ok_or(format!("{response:?}"))
            });
            ends.push((request.op.clone(), response.await));
        }
        ends
    }
}
