//! A planned stop cuts off no request in progress.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::call::End;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::shared::{Ask, Fleet, Node, Reply, Setup, Stream, wait};

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
async fn begin(fleet: &Fleet, router: usize) -> Vec<tokio::task::JoinHandle<Reply>> {
    let chats = (0..6).map(|n| Ask::chat(&format!("{n}"), TOKENS));
    let bookings = [Ask::booking("a"), Ask::booking("b").keyed()];
    let asks: Vec<Ask> = chats.chain(bookings).collect();
    let sent = asks.iter().map(|ask| ask.spawn(fleet.router(router)));
    let sent: Vec<_> = sent.collect();
    for ask in &asks {
        fleet.started(&ask.op, 1).await;
    }
    sent
}

async fn expect_whole(sent: Vec<tokio::task::JoinHandle<Reply>>) {
    for reply in join_all(sent).await {
        let reply = reply.unwrap();
        expect_that!(reply.end, eq(End::Whole), "{reply:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_a_router() {
    let fleet = Fleet::spawn(mixed()).await;
    let sent = begin(&fleet, 0).await;
    expect_that!(fleet.routers[0].stop().await, some(eq(0)));
    expect_whole(sent).await;
    expect_that!(fleet.routers[0].events(Event::Truncated), is_empty());
    let refused = Ask::chat("next", 4).send(fleet.router(0)).await;
    expect_that!(refused.end, eq(End::NotRun));
    let next = Ask::chat("next", 4).send(fleet.router(1)).await;
    expect_that!(next.end, eq(End::Whole));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_a_sidecar() {
    let fleet = Fleet::spawn(mixed()).await;
    let sent = begin(&fleet, 0).await;
    let stops = [&fleet.sidecars[0], &fleet.sidecars[2]].map(Node::stop);
    let asks: Vec<Ask> = (6..18).map(|n| Ask::chat(&format!("{n}"), 4)).collect();
    let asked = join_all(asks.iter().map(|ask| ask.send(fleet.router(1))));
    let (codes, replies) = tokio::join!(join_all(stops), asked);
    expect_that!(codes, each(some(eq(&0))));
    expect_whole(sent).await;
    for reply in replies {
        expect_that!(reply.end, eq(End::Whole), "{reply:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_a_router_and_a_sidecar_together_while_the_kv_service_is_down() {
    let fleet = Fleet::spawn(mixed()).await;
    let sent = begin(&fleet, 0).await;
    fleet.kv.set_faults(&mulberryyoke_standin::kv::Faults {
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
async fn of_a_router_whose_drain_deadline_passes() {
    let fleet = Fleet::spawn(Setup {
        slots: 1,
        router: drain(1_000),
        ..mixed()
    })
    .await;
    let mut streams = Vec::new();
    for n in 0..2 {
        let ask = Ask::chat(&format!("{n}"), ENDLESS);
        streams.push(Stream::open(&ask, fleet.router(0)).await);
    }
    let waiting = Ask::chat("waiting", 4);
    let refused = waiting.spawn(fleet.router(0));
    fleet.routers[0].event(Event::Queued, |_| true).await;
    expect_that!(fleet.routers[0].stop().await, some(eq(0)));
    expect_that!(
        refused.await.unwrap().refusal(),
        eq((503, "stopping", "not-run"))
    );
    for stream in streams {
        let id = stream.id.clone();
        expect_that!(stream.finish().await, err(anything()));
        expect_that!(fleet.outcome(1, &id).await, eq("unknown"));
    }
    let next = Ask::chat("next", 4).send(fleet.router(1)).await;
    expect_that!(next.end, eq(End::Whole));
    expect_that!(fleet.starts(&waiting.op), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_a_sidecar_whose_drain_deadline_passes() {
    let fleet = Fleet::spawn(Setup {
        engines: 1,
        latency: LATENCY * 4,
        sidecar: drain(500),
        ..mixed()
    })
    .await;
    let mut stream = Stream::open(&Ask::chat("a", ENDLESS), fleet.router(0)).await;
    stream.read(3).await;
    let booking = Ask::booking("b").keyed();
    let first = booking.spawn(fleet.router(0));
    fleet.started(&booking.op, 1).await;
    let stops = join_all(fleet.sidecars.iter().map(Node::stop)).await;
    expect_that!(stops, each(some(eq(&0))));
    expect_that!(stream.finish().await, err(anything()));
    let reply = first.await.unwrap();
    expect_that!(reply.refusal(), eq((502, "outcome_unknown", "unknown")));
    // The next life knows that it was cut off, and never runs it again.
    fleet.sidecars[1].start();
    fleet.linked_to(1, &fleet.sidecars[1]).await;
    let repeat = booking.send(fleet.router(1)).await;
    expect_that!(repeat.refusal(), eq((502, "outcome_unknown", "unknown")));
    let turned_away = fleet.sidecars[1].event(Event::Rejected, |_| true).await;
    expect_that!(turned_away["verdict"].as_str(), some(eq("broken")));
    expect_that!(fleet.starts(&booking.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_every_process_in_turn_under_load() {
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
            fleet.linked(index).await;
            all_linked(&fleet).await;
            balancer.out.store(NONE, Ordering::Relaxed);
        }
        balancer.stop.cancel();
    };
    let callers = (0..8).map(|caller| balancer.call_on(&fleet, caller));
    let (ends, ()) = tokio::join!(join_all(callers), rolling);
    let ends = ends.concat();
    expect_that!(ends.len(), ge(8));
    for (op, reply) in ends {
        expect_that!(reply.end, eq(End::Whole), "{op}: {reply:?}");
        expect_that!(fleet.starts(&op), eq(1), "{op}");
    }
}

async fn all_linked(fleet: &Fleet) {
    for router in 0..fleet.routers.len() {
        for server in 0..fleet.sidecars.len() {
            fleet.linked_again(router, server).await;
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
    async fn call_on(&self, fleet: &Fleet, caller: usize) -> Vec<(String, Reply)> {
        let mut ends = Vec::new();
        while !self.stop.is_cancelled() {
            let name = format!("{caller}-{}", ends.len());
            let ask = match ends.len() % 2 {
                0 => Ask::chat(&name, 20),
                _ => Ask::booking(&name),
            };
            let mut turn = caller;
            let reply = wait::until(&name, async || {
                turn += 1;
                let out = self.out.load(Ordering::Relaxed);
                let router = if turn % 2 == out { 1 - out } else { turn % 2 };
                let reply = ask.send(fleet.router(router)).await;
                let is_end = reply.end != End::NotRun;
                is_end.then(|| reply.clone()).ok_or(format!("{reply:?}"))
            });
            ends.push((ask.op.clone(), reply.await));
        }
        ends
    }
}
