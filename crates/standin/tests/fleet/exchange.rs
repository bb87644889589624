//! The exchange between routers.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use mulberryyoke_decide::exchange::Cursor;
use mulberryyoke_event::Event;
use mulberryyoke_model::{
    Attempt, CustomerId, Incarnation, KeyId, Millis, Outcome, PoolId, Report, ServerId, Usage,
};
use mulberryyoked::fleet::{Fleet, Local};

use crate::world::{Router, World, limit};

fn usage(customer: u32, tokens: u64) -> Usage {
    Usage {
        pool: PoolId(1),
        customer: CustomerId(customer),
        tokens,
    }
}

fn report(router: &Router, sequence: u64, usage: Usage) -> u64 {
    let report = Report {
        sequence,
        usage: vec![usage],
    };
    let sidecar = Incarnation(router.fleet.member().incarnation.0 ^ 1);
    router.fleet.collect(sidecar, &report)
}

fn total(fleet: &Fleet, customer: u32) -> u64 {
    let totals = fleet.totals(&mut Cursor::default());
    let mut totals = totals.iter().filter(|t| t.customer == CustomerId(customer));
    totals.next().map_or(0, |total| total.tokens)
}

async fn three(world: &World) -> Vec<Router> {
    let mut routers = Vec::new();
    for name in ["r1", "r2", "r3"] {
        routers.push(world.router(name, "a").await);
    }
    for router in &routers {
        router.until(|fleet| fleet.members().len() == 3).await;
    }
    routers
}

#[tokio::test]
async fn every_router_learns_the_totals() {
    let world = World::open().await;
    let routers = three(&world).await;
    for (index, router) in routers.iter().enumerate() {
        let tokens = 100 * (index as u64 + 1);
        assert_that!(report(router, 1, usage(7, tokens)), eq(1));
        assert_that!(report(router, 1, usage(7, tokens)), eq(1));
    }
    for router in &routers {
        router.until(|fleet| total(fleet, 7) >= 600).await;
        assert_that!(total(&router.fleet, 7), eq(600));
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn a_restarted_router_counts_from_its_start() {
    let world = World::open().await;
    let mut routers = three(&world).await;
    report(&routers[0], 1, usage(7, 500));
    routers[1].until(|fleet| total(fleet, 7) == 500).await;
    let stopped = routers.remove(2);
    stopped.fleet.stop().await;
    let fresh = world.router("r3", "a").await;
    limit(fresh.log.wait(Event::PeerUp, 2)).await;
    let mut reports = 1;
    while total(&fresh.fleet, 7) == 0 {
        reports += 1;
        report(&routers[0], reports, usage(7, 470 + 30 * reports));
        let all = 470 + 30 * reports;
        routers[1].until(|fleet| total(fleet, 7) == all).await;
    }
    assert_that!(total(&fresh.fleet, 7) % 30, eq(0));
    assert_that!(total(&fresh.fleet, 7), le(30 * (reports - 1)));
    fresh.fleet.stop().await;
    for router in &routers {
        router.fleet.stop().await;
    }
}

struct Answers;

impl Local for Answers {
    fn outcome(&self, attempt: Attempt) -> Outcome {
        if attempt.request == 1 {
            Outcome::Ran
        } else {
            Outcome::NotRun
        }
    }

    fn keys(&self, _: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        (since, Vec::new())
    }
}

#[tokio::test]
async fn outcomes_and_hints_are_asked_of_peers() {
    let world = World::open().await;
    let routers = three(&world).await;
    routers[2].fleet.serve(Arc::new(Answers));
    let attempt = |origin, request| Attempt {
        origin,
        request,
        number: 0,
    };
    let origin = routers[2].fleet.member().incarnation;
    let rows = [
        (origin, 1, Outcome::Ran),
        (origin, 2, Outcome::NotRun),
        (Incarnation(3), 1, Outcome::Unknown),
    ];
    for (origin, request, expected) in rows {
        let outcome = routers[0].fleet.outcome(attempt(origin, request)).await;
        assert_that!(outcome, eq(expected));
    }
    routers[2].fleet.set_idle(vec![ServerId(4)]);
    routers[0]
        .until(|fleet| fleet.idle() == [ServerId(4)])
        .await;
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn a_peer_that_is_gone_is_told_and_no_longer_a_member() {
    let world = World::open().await;
    let mut routers = three(&world).await;
    let gone = routers.remove(1);
    gone.fleet.stop().await;
    drop(gone);
    for router in &routers {
        limit(router.log.wait(Event::PeerDown, 1)).await;
        router.until(|fleet| fleet.members().len() == 2).await;
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn a_large_fleet_exchanges_in_a_tree() {
    const ROUTERS: usize = 27;
    let world = World::open().await;
    let mut routers = Vec::new();
    for index in 0..ROUTERS {
        let zone = format!("z{}", index % 3);
        routers.push(world.router(&format!("r{index}"), &zone).await);
    }
    // Every router but the three zones' roots has a parent, most of them no children.
    let is_leaf = |router: &Router| router.fleet.members().len() == 2;
    let settled = async {
        while routers.iter().filter(|router| is_leaf(router)).count() < ROUTERS / 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    limit(settled).await;
    let revision = world.accept("one").await;
    for router in &routers {
        router.reach(revision).await;
    }
    // A router counts from the first word of its parent.
    let mut reports = 0;
    while routers.iter().any(|router| total(&router.fleet, 7) == 0) {
        reports += 1;
        report(&routers[0], reports, usage(7, reports));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let before: Vec<u64> = routers.iter().map(|r| total(&r.fleet, 7)).collect();
    report(&routers[0], reports + 1, usage(7, reports + 1_000));
    for (router, before) in routers.iter().zip(before) {
        router.until(|fleet| total(fleet, 7) >= before + 900).await;
        assert_that!(total(&router.fleet, 7), le(reports + 1_000));
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}
