//! A graceful shutdown aborts no running request before its drain deadline.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::call::CallOutcome;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::common::{Fleet, Node, Request, Response, Setup, Stream, wait};

/// Length, in tokens, of a response that is streaming when the shutdown begins.
const RESPONSE_TOKENS: u32 = 100;

/// Length, in tokens, of a response that does not end within a test.
const ENDLESS_TOKENS: u32 = 100_000;

/// Duration of a call that is running when the shutdown begins.
const LATENCY: Duration = Duration::from_millis(800);

/// Value of [`LoadBalancer::excluded`] if no router is excluded.
const NO_ROUTER: usize = usize::MAX;

fn engines_and_service() -> Setup {
    Setup {
        engines: 2,
        services: 1,
        slots: 4,
        latency: LATENCY,
        ..Setup::default()
    }
}

fn drain_settings(drain_ms: u64) -> serde_json::Value {
    json!({"drain_ms": drain_ms})
}

/// Starts requests of all kinds through a router and waits until they run.
async fn start_requests(fleet: &Fleet, router: usize) -> Vec<tokio::task::JoinHandle<Response>> {
    let chats = (0..6).map(|n| Request::chat(&format!("{n}"), RESPONSE_TOKENS));
    let bookings = [Request::booking("a"), Request::booking("b").with_key()];
    let requests: Vec<Request> = chats.chain(bookings).collect();
    let pending = requests
        .iter()
        .map(|request| request.spawn(fleet.caller_address(router)));
    let pending: Vec<_> = pending.collect();
    for request in &requests {
        fleet.wait_started(&request.op, 1).await;
    }
    pending
}

async fn expect_complete(pending: Vec<tokio::task::JoinHandle<Response>>) {
    for response in join_all(pending).await {
        let response = response.unwrap();
        expect_that!(
            response.call_outcome,
            eq(CallOutcome::Complete),
            "{response:?}"
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_complete_when_their_router_stops() {
    let fleet = Fleet::spawn(engines_and_service()).await;
    let pending = start_requests(&fleet, 0).await;
    expect_that!(fleet.routers[0].stop().await, some(eq(0)));
    expect_complete(pending).await;
    expect_that!(fleet.routers[0].events(Event::Truncated), is_empty());
    let refused = Request::chat("next", 4).send(fleet.caller_address(0)).await;
    expect_that!(refused.call_outcome, eq(CallOutcome::NotRun));
    let next = Request::chat("next", 4).send(fleet.caller_address(1)).await;
    expect_that!(next.call_outcome, eq(CallOutcome::Complete));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_complete_when_their_sidecars_stop() {
    let fleet = Fleet::spawn(engines_and_service()).await;
    let pending = start_requests(&fleet, 0).await;
    let stops = [&fleet.sidecars[0], &fleet.sidecars[2]].map(Node::stop);
    let requests: Vec<Request> = (6..18).map(|n| Request::chat(&format!("{n}"), 4)).collect();
    let later = join_all(
        requests
            .iter()
            .map(|request| request.send(fleet.caller_address(1))),
    );
    let (codes, responses) = tokio::join!(join_all(stops), later);
    expect_that!(codes, each(some(eq(&0))));
    expect_complete(pending).await;
    for response in responses {
        expect_that!(
            response.call_outcome,
            eq(CallOutcome::Complete),
            "{response:?}"
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_complete_when_router_and_sidecars_stop_during_a_kv_outage() {
    let fleet = Fleet::spawn(engines_and_service()).await;
    let pending = start_requests(&fleet, 0).await;
    fleet.kv.set_faults(&mulberryyoke_standin::kv::Faults {
        outage: Some(true),
        ..Default::default()
    });
    let stops = [&fleet.routers[0], &fleet.sidecars[0], &fleet.sidecars[2]];
    let codes = join_all(stops.map(Node::stop)).await;
    expect_that!(codes, each(some(eq(&0))));
    expect_complete(pending).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn router_aborts_unfinished_streams_at_the_drain_deadline() {
    let fleet = Fleet::spawn(Setup {
        slots: 1,
        router_settings: drain_settings(1_000),
        ..engines_and_service()
    })
    .await;
    let mut streams = Vec::new();
    for n in 0..2 {
        let request = Request::chat(&format!("{n}"), ENDLESS_TOKENS);
        streams.push(Stream::open(&request, fleet.caller_address(0)).await);
    }
    let queued = Request::chat("waiting", 4);
    let refused = queued.spawn(fleet.caller_address(0));
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
    expect_that!(next.call_outcome, eq(CallOutcome::Complete));
    expect_that!(fleet.start_count(&queued.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_aborted_at_the_sidecars_drain_deadline_is_not_run_again() {
    let fleet = Fleet::spawn(Setup {
        engines: 1,
        latency: LATENCY * 4,
        sidecar_settings: drain_settings(500),
        ..engines_and_service()
    })
    .await;
    let mut stream =
        Stream::open(&Request::chat("a", ENDLESS_TOKENS), fleet.caller_address(0)).await;
    stream.read_tokens(3).await;
    let booking = Request::booking("b").with_key();
    let pending = booking.spawn(fleet.caller_address(0));
    fleet.wait_started(&booking.op, 1).await;
    let stops = join_all(fleet.sidecars.iter().map(Node::stop)).await;
    expect_that!(stops, each(some(eq(&0))));
    expect_that!(stream.read_to_end().await, err(anything()));
    let response = pending.await.unwrap();
    expect_that!(response.refusal(), eq((502, "outcome_unknown", "unknown")));
    // The next instance knows that the call was aborted and does not run it again.
    fleet.sidecars[1].restart();
    fleet.wait_connected_to(1, &fleet.sidecars[1]).await;
    let repeat = booking.send(fleet.caller_address(1)).await;
    expect_that!(repeat.refusal(), eq((502, "outcome_unknown", "unknown")));
    let rejected = fleet.sidecars[1]
        .wait_event(Event::Rejected, |_| true)
        .await;
    expect_that!(rejected["verdict"].as_str(), some(eq("broken")));
    expect_that!(fleet.start_count(&booking.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_under_load_completes_every_request() {
    let fleet = Fleet::spawn(Setup {
        slots: 2,
        latency: LATENCY / 8,
        ..engines_and_service()
    })
    .await;
    let load_balancer = LoadBalancer::default();
    let rolling = async {
        for sidecar in &fleet.sidecars {
            expect_that!(sidecar.stop().await, some(eq(0)), "{}", sidecar.name);
            sidecar.restart();
            wait_all_reconnected(&fleet).await;
        }
        for (index, router) in fleet.routers.iter().enumerate() {
            let (code, ()) = tokio::join!(router.stop(), load_balancer.exclude(&fleet, index));
            expect_that!(code, some(eq(0)), "{}", router.name);
            router.restart();
            fleet.wait_connected(index).await;
            wait_all_reconnected(&fleet).await;
            load_balancer.excluded.store(NO_ROUTER, Ordering::Relaxed);
        }
        load_balancer.stop.cancel();
    };
    let callers = (0..8).map(|caller| load_balancer.send_requests(&fleet, caller));
    let (results, ()) = tokio::join!(join_all(callers), rolling);
    let results = results.concat();
    expect_that!(results.len(), ge(8));
    for (op, response) in results {
        expect_that!(
            response.call_outcome,
            eq(CallOutcome::Complete),
            "{op}: {response:?}"
        );
        expect_that!(fleet.start_count(&op), eq(1), "{op}");
    }
}

async fn wait_all_reconnected(fleet: &Fleet) {
    for router in 0..fleet.routers.len() {
        for server in 0..fleet.sidecars.len() {
            fleet.wait_reconnected(router, server).await;
        }
    }
}

/// Load balancer that excludes routers that are not ready.
#[derive(Debug)]
struct LoadBalancer {
    /// Index of the excluded router.
    excluded: AtomicUsize,
    stop: CancellationToken,
}

impl Default for LoadBalancer {
    fn default() -> Self {
        Self {
            excluded: AtomicUsize::new(NO_ROUTER),
            stop: CancellationToken::new(),
        }
    }
}

impl LoadBalancer {
    /// Excludes a router once it is not ready.
    async fn exclude(&self, fleet: &Fleet, router: usize) {
        wait::until("the router to become unready", async || {
            let ready = fleet.is_ready(router).await;
            (!ready)
                .then_some(())
                .ok_or("the router is ready".to_owned())
        })
        .await;
        self.excluded.store(router, Ordering::Relaxed);
    }

    /// Sends requests in sequence, retrying each one while it is reported as not run.
    async fn send_requests(&self, fleet: &Fleet, caller: usize) -> Vec<(String, Response)> {
        let mut results = Vec::new();
        while !self.stop.is_cancelled() {
            let name = format!("{caller}-{}", results.len());
            let request = match results.len() % 2 {
                0 => Request::chat(&name, 20),
                _ => Request::booking(&name),
            };
            let mut attempt = caller;
            let response = wait::until(&name, async || {
                attempt += 1;
                let excluded = self.excluded.load(Ordering::Relaxed);
                let router = if attempt % 2 == excluded {
                    1 - excluded
                } else {
                    attempt % 2
                };
                let response = request.send(fleet.caller_address(router)).await;
                let is_final = response.call_outcome != CallOutcome::NotRun;
                is_final
                    .then(|| response.clone())
                    .ok_or(format!("{response:?}"))
            });
            results.push((request.op.clone(), response.await));
        }
        results
    }
}
