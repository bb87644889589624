//! A non-idempotent call runs at most once.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_standin::fleet::call::End;
use mulberryyoke_standin::kv::Faults;

use crate::shared::{Ask, Fleet, Reply, Setup, wait};

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
        spare: 1,
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

fn lose_answers(count: u64) -> Faults {
    Faults {
        lose_answers: Some(count),
        ..Faults::default()
    }
}

/// Sends a call through every router at once.
async fn send_all(fleet: &Fleet, ask: &Ask) -> Vec<Reply> {
    let routers = 0..fleet.routers.len();
    join_all(routers.map(|router| ask.send(fleet.router(router)))).await
}

/// Repeats a call through a router, as its caller does, until it is told what is
/// wanted.
async fn settle(fleet: &Fleet, router: usize, ask: &Ask, wanted: End) -> Reply {
    wait::until(&format!("{wanted:?} of {}", ask.op), async || {
        let reply = ask.send(fleet.router(router)).await;
        let is_wanted = reply.end == wanted;
        is_wanted.then(|| reply.clone()).ok_or(format!("{reply:?}"))
    })
    .await
}

/// Repeats a call through every router: none may run it again.
async fn expect_no_more_runs(fleet: &Fleet, ask: &Ask, wanted: &[End]) {
    for reply in send_all(fleet, ask).await {
        expect_that!(wanted, contains(eq(&reply.end)), "{reply:?}");
    }
    expect_that!(fleet.starts(&ask.op), eq(1), "{}", ask.op);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_through_two_routers_at_once() {
    let fleet = Fleet::spawn(Setup {
        services: 2,
        latency: LONG / 8,
        ..Setup::default()
    })
    .await;
    let asks: Vec<Ask> = (0..16)
        .map(|n| Ask::booking(&format!("{n}")).keyed())
        .collect();
    let replies = join_all(asks.iter().map(|ask| send_all(&fleet, ask))).await;
    for (ask, replies) in asks.iter().zip(replies) {
        let whole = settle(&fleet, 1, ask, End::Whole).await;
        expect_that!(whole.text, ok(contains_substring("\"ran\":1")));
        expect_that!(fleet.starts(&ask.op), eq(1), "{replies:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_killed_under_way_and_started_again() {
    let fleet = Fleet::spawn(one()).await;
    let ask = Ask::booking("slot").keyed();
    let first = ask.spawn(fleet.router(0));
    fleet.started(&ask.op, 1).await;
    fleet.sidecars[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    fleet.sidecars[0].start();
    expect_no_more_runs(&fleet, &ask, &[End::Unknown]).await;
    let next = Ask::booking("next").keyed();
    settle(&fleet, 1, &next, End::Whole).await;
    expect_no_more_runs(&fleet, &ask, &[End::Unknown]).await;
    expect_that!(fleet.starts(&next.op), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_stopped_as_planned_and_started_again() {
    let fleet = Fleet::spawn(one()).await;
    let ask = Ask::booking("slot").keyed();
    let first = ask.spawn(fleet.router(0));
    fleet.started(&ask.op, 1).await;
    expect_that!(fleet.sidecars[0].stop().await, some(eq(0)));
    expect_that!(first.await.unwrap().end, eq(End::Whole));
    fleet.sidecars[0].start();
    settle(&fleet, 1, &ask, End::Ran).await;
    expect_no_more_runs(&fleet, &ask, &[End::Ran]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_killed_under_way() {
    let fleet = Fleet::spawn(one()).await;
    let ask = Ask::booking("slot").keyed();
    let first = ask.spawn(fleet.router(0));
    fleet.started(&ask.op, 1).await;
    fleet.routers[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    settle(&fleet, 1, &ask, End::Whole).await;
    fleet.routers[0].start();
    fleet.linked(0).await;
    expect_no_more_runs(&fleet, &ask, &[End::Whole]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_and_the_sidecar_killed_together() {
    let fleet = Fleet::spawn(one()).await;
    let ask = Ask::booking("slot").keyed();
    let first = ask.spawn(fleet.router(0));
    fleet.started(&ask.op, 1).await;
    // Nobody is left who remembers the key.
    fleet.routers[0].kill().await;
    fleet.sidecars[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    fleet.sidecars[0].start();
    fleet.routers[0].start();
    fleet.linked(0).await;
    expect_no_more_runs(&fleet, &ask, &[End::Unknown]).await;
    let told = fleet.sidecars[0]
        .event(Event::KeysIndeterminate, |_| true)
        .await;
    expect_that!(told["routers"].as_u64(), some(ge(1)));
    expect_no_more_runs(&fleet, &ask, &[End::Unknown]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_killed_while_the_kv_service_is_down() {
    let fleet = Fleet::spawn(one()).await;
    let before = Ask::booking("before").keyed();
    settle(&fleet, 0, &before, End::Whole).await;
    fleet.kv.set_faults(&outage(true));
    let ask = Ask::booking("slot").keyed();
    let first = ask.spawn(fleet.router(0));
    fleet.started(&ask.op, 1).await;
    fleet.sidecars[0].kill().await;
    expect_that!(first.await.unwrap().end, eq(End::Unknown));
    fleet.sidecars[0].start();
    fleet.sidecars[0].event(Event::KvDown, |_| true).await;
    for ask in [&before, &ask] {
        expect_no_more_runs(&fleet, ask, &[End::Unknown]).await;
    }
    fleet.kv.set_faults(&outage(false));
    let next = Ask::booking("next").keyed();
    settle(&fleet, 1, &next, End::Whole).await;
    for ask in [&before, &ask] {
        expect_no_more_runs(&fleet, ask, &[End::Unknown]).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_the_kv_service_lost_at_a_planned_restart() {
    let fleet = Fleet::spawn(one()).await;
    let ask = Ask::booking("slot").keyed();
    settle(&fleet, 0, &ask, End::Whole).await;
    // The answers to the last write of one life and the first of the next.
    fleet.kv.set_faults(&lose_answers(2));
    expect_that!(fleet.sidecars[0].stop().await, some(eq(0)));
    fleet.sidecars[0].start();
    settle(&fleet, 1, &ask, End::Ran).await;
    expect_that!(fleet.kv.stats().lost_answers, eq(2));
    expect_no_more_runs(&fleet, &ask, &[End::Ran]).await;
    let next = Ask::booking("next").keyed();
    settle(&fleet, 0, &next, End::Whole).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn homes_moved_by_a_server_that_is_added() {
    let fleet = Fleet::spawn(growing()).await;
    let moved = |n: u64| Ask::booking_at(&POOL, POOL[1], n);
    let before: Vec<Ask> = (0..8).map(moved).collect();
    let during: Vec<Ask> = (8..24).map(moved).collect();
    for ask in &before {
        settle(&fleet, 0, ask, End::Whole).await;
    }
    let sending = join_all(during.iter().map(|ask| send_all(&fleet, ask)));
    let ((), replies) = tokio::join!(fleet.add(0, 1), sending);
    for router in 0..2 {
        fleet.linked_to(router, &fleet.sidecars[1]).await;
    }
    for ask in &before {
        expect_no_more_runs(&fleet, ask, &[End::Ran]).await;
    }
    for (ask, replies) in during.iter().zip(replies) {
        wait::until("an end", async || {
            let reply = ask.send(fleet.router(1)).await;
            let is_end = matches!(reply.end, End::Whole | End::Ran);
            is_end.then_some(()).ok_or(format!("{reply:?}"))
        })
        .await;
        expect_that!(fleet.starts(&ask.op), eq(1), "{replies:?}");
    }
    let next = moved(24);
    settle(&fleet, 0, &next, End::Whole).await;
    expect_that!(fleet.backends[1].runs(&next.op), len(eq(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn homes_moved_by_a_server_that_is_drained() {
    let fleet = Fleet::spawn(Setup {
        services: 2,
        ..one()
    })
    .await;
    let done = Ask::booking_at(&POOL, POOL[0], 0);
    settle(&fleet, 0, &done, End::Whole).await;
    let ask = Ask::booking_at(&POOL, POOL[0], 1);
    let first = ask.spawn(fleet.router(0));
    fleet.started(&ask.op, 1).await;
    fleet.command(1, "server drain booking-0").await;
    for reply in send_all(&fleet, &ask).await {
        expect_that!(
            reply.end,
            any![eq(End::Whole), eq(End::Ran), eq(End::Unknown)],
            "{reply:?}"
        );
    }
    expect_that!(first.await.unwrap().end, eq(End::Whole));
    let next = Ask::booking_at(&POOL, POOL[0], 2);
    for router in 0..2 {
        settle(&fleet, router, &next, End::Whole).await;
    }
    expect_that!(fleet.backends[1].runs(&next.op), len(eq(1)));
    for ask in [&done, &ask] {
        expect_no_more_runs(&fleet, ask, &[End::Ran]).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_copy_on_its_way_while_homes_move() {
    let fleet = Fleet::spawn(Setup {
        relayed: true,
        ..growing()
    })
    .await;
    let moved = |n: u64| Ask::booking_at(&POOL, POOL[1], n);
    settle(&fleet, 1, &moved(0), End::Whole).await;
    let [_, data] = &fleet.links[0];
    data.hold();
    let ask = moved(1);
    let late = ask.spawn(fleet.router(1));
    fleet.routers[1]
        .event(Event::Routed, |line| {
            line["server"] == POOL[0] && line["waited_ms"].is_u64()
        })
        .await;
    fleet.add(0, 1).await;
    fleet.linked_to(0, &fleet.sidecars[1]).await;
    settle(&fleet, 0, &ask, End::Whole).await;
    data.release();
    let late = late.await.unwrap();
    expect_that!(late.end, eq(End::Whole), "{late:?}");
    expect_that!(fleet.starts(&ask.op), eq(1), "{late:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_kv_service_that_is_down_for_long() {
    let fleet = Fleet::spawn(one()).await;
    settle(&fleet, 0, &Ask::booking("a").keyed(), End::Whole).await;
    settle(&fleet, 1, &Ask::booking("b").keyed(), End::Whole).await;
    fleet.kv.set_faults(&outage(true));
    let ask = Ask::booking("slot").keyed();
    send_all(&fleet, &ask).await;
    settle(&fleet, 0, &ask, End::Whole).await;
    // A router that comes new cannot be named in the home record now.
    fleet.routers[1].kill().await;
    fleet.routers[1].start();
    fleet.linked(1).await;
    expect_no_more_runs(&fleet, &ask, &[End::Whole]).await;
    let next = Ask::booking("next").keyed();
    let refused = next.send(fleet.router(1)).await;
    expect_that!(refused.refusal(), eq((503, "keys_full", "unknown")));
    expect_that!(fleet.starts(&next.op), eq(0));
    fleet.kv.set_faults(&outage(false));
    settle(&fleet, 1, &next, End::Whole).await;
}
