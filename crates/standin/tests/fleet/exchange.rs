//! The exchange between routers.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use mulberryyoke_decide::exchange::Cursor;
use mulberryyoke_event::Event;
use mulberryyoke_model::{
    Attempt, CustomerId, Incarnation, KeyId, Millis, Outcome, PoolId, Report, ServerId, Usage,
};
use mulberryyoked::fleet::{Fleet, LocalRequests};

use crate::world::{Router, World, limit};

fn usage(customer: u32, tokens: u64) -> Usage {
    Usage {
        pool: PoolId(1),
        customer: CustomerId(customer),
        tokens,
    }
}

/// The sidecar that reports to a router.
#[derive(Default)]
struct Sidecar {
    sequence: u64,
    charged: BTreeMap<u32, u64>,
}

impl Sidecar {
    fn charge(&mut self, router: &Router, customer: u32, tokens: u64) {
        self.sequence += 1;
        let charged = self.charged.entry(customer).or_default();
        *charged += tokens;
        let report = Report {
            sequence: self.sequence,
            usage: vec![usage(customer, *charged)],
        };
        let incarnation = Incarnation(router.fleet.member().incarnation.0 ^ 1);
        for _ in 0..2 {
            // A repeat changes nothing.
            let counted = router.fleet.collect(incarnation, &report);
            assert_that!(counted, eq(self.sequence));
        }
    }
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

/// Waits until every router counts what each other one does: a life that is older
/// counts from the first word.
async fn acquaint(routers: &[Router]) -> Vec<Sidecar> {
    let mut sidecars = Vec::new();
    for (customer, router) in (1_000..).zip(routers) {
        let mut sidecar = Sidecar::default();
        let counts = |router: &Router| total(&router.fleet, customer) > 0;
        let acquainted = async {
            while !routers.iter().all(counts) {
                sidecar.charge(router, customer, 1);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        limit(acquainted).await;
        sidecars.push(sidecar);
    }
    sidecars
}

#[tokio::test]
async fn every_router_learns_the_totals() {
    let world = World::open().await;
    let routers = three(&world).await;
    let mut sidecars = acquaint(&routers).await;
    for (router, sidecar) in routers.iter().zip(&mut sidecars) {
        sidecar.charge(router, 7, 100);
        sidecar.charge(router, 7, 50);
    }
    for router in &routers {
        router.until(|fleet| total(fleet, 7) >= 450).await;
        assert_that!(total(&router.fleet, 7), eq(450));
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn a_restarted_router_counts_from_its_start() {
    let world = World::open().await;
    let mut routers = three(&world).await;
    let mut sidecars = acquaint(&routers).await;
    sidecars[0].charge(&routers[0], 7, 500);
    routers[1].until(|fleet| total(fleet, 7) == 500).await;
    let stopped = routers.remove(2);
    stopped.fleet.stop().await;
    routers.push(world.router("r3", "a").await);
    acquaint(&routers[2..]).await;
    let fresh = &routers[2].fleet;
    let mut charged = 500;
    while total(fresh, 7) == 0 {
        sidecars[0].charge(&routers[0], 7, 30);
        charged += 30;
        routers[1].until(|fleet| total(fleet, 7) == charged).await;
    }
    assert_that!(total(fresh, 7) % 30, eq(0));
    assert_that!(total(fresh, 7), le(charged - 500));
    for router in &routers {
        router.fleet.stop().await;
    }
}

struct Answers;

impl LocalRequests for Answers {
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>> {
        let ran = attempt.request == 1;
        Box::pin(async move { if ran { Outcome::Ran } else { Outcome::NotRun } })
    }

    fn keys(&self, _: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        (since, Vec::new())
    }
}

#[tokio::test]
async fn outcomes_and_hints_are_asked_of_peers() {
    let world = World::open().await;
    let routers = three(&world).await;
    routers[2].fleet.set_local_requests(Arc::new(Answers));
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
    let mut sidecars = acquaint(&routers[..1]).await;
    let counts = |router: &Router| total(&router.fleet, 1_000) > 0;
    while !routers.iter().all(counts) {
        sidecars[0].charge(&routers[0], 1_000, 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    sidecars[0].charge(&routers[0], 7, 1_000);
    for router in &routers {
        router.until(|fleet| total(fleet, 7) >= 1_000).await;
        assert_that!(total(&router.fleet, 7), eq(1_000));
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}
