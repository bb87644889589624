//! Exchange of usage, membership and outcomes between routers.

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

use crate::environment::{Environment, Router, with_timeout};

fn usage(customer: u32, tokens: u64) -> Usage {
    Usage {
        pool: PoolId(1),
        customer: CustomerId(customer),
        tokens,
    }
}

/// Sends usage reports of a sidecar to a router.
#[derive(Default)]
struct Reporter {
    sequence: u64,
    tokens: BTreeMap<u32, u64>,
}

impl Reporter {
    /// Reports additional tokens of a customer.
    fn report(&mut self, router: &Router, customer: u32, tokens: u64) {
        self.sequence += 1;
        let total = self.tokens.entry(customer).or_default();
        *total += tokens;
        let report = Report {
            sequence: self.sequence,
            usage: vec![usage(customer, *total)],
        };
        let incarnation = Incarnation(router.fleet.member().incarnation.0 ^ 1);
        // A repeated report is not counted again.
        for _ in 0..2 {
            let sequence = router.fleet.collect(incarnation, &report);
            assert_that!(sequence, eq(self.sequence));
        }
    }
}

fn total(fleet: &Fleet, customer: u32) -> u64 {
    let totals = fleet.totals(&mut Cursor::default());
    let mut totals = totals.iter().filter(|t| t.customer == CustomerId(customer));
    totals.next().map_or(0, |total| total.tokens)
}

async fn spawn_three(environment: &Environment) -> Vec<Router> {
    let mut routers = Vec::new();
    for name in ["r1", "r2", "r3"] {
        routers.push(environment.spawn_router(name, "a").await);
    }
    for router in &routers {
        router.wait_until(|fleet| fleet.members().len() == 3).await;
    }
    routers
}

/// Reports usage to each router until all routers count it, since a router counts the usage of an
/// older instance only from the first exchange on. Returns the reporters.
async fn wait_for_exchange(routers: &[Router]) -> Vec<Reporter> {
    let mut reporters = Vec::new();
    for (customer, router) in (1_000..).zip(routers) {
        let mut reporter = Reporter::default();
        let counts = |router: &Router| total(&router.fleet, customer) > 0;
        let exchanged = async {
            while !routers.iter().all(counts) {
                reporter.report(router, customer, 1);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        with_timeout(exchanged).await;
        reporters.push(reporter);
    }
    reporters
}

#[tokio::test]
async fn every_router_gets_the_usage_totals() {
    let environment = Environment::spawn().await;
    let routers = spawn_three(&environment).await;
    let mut reporters = wait_for_exchange(&routers).await;
    for (router, reporter) in routers.iter().zip(&mut reporters) {
        reporter.report(router, 7, 100);
        reporter.report(router, 7, 50);
    }
    for router in &routers {
        router.wait_until(|fleet| total(fleet, 7) >= 450).await;
        assert_that!(total(&router.fleet, 7), eq(450));
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn a_restarted_router_counts_only_usage_after_its_start() {
    let environment = Environment::spawn().await;
    let mut routers = spawn_three(&environment).await;
    let mut reporters = wait_for_exchange(&routers).await;
    reporters[0].report(&routers[0], 7, 500);
    routers[1].wait_until(|fleet| total(fleet, 7) == 500).await;
    let stopped = routers.remove(2);
    stopped.fleet.stop().await;
    routers.push(environment.spawn_router("r3", "a").await);
    wait_for_exchange(&routers[2..]).await;
    let restarted = &routers[2].fleet;
    let mut tokens = 500;
    while total(restarted, 7) == 0 {
        reporters[0].report(&routers[0], 7, 30);
        tokens += 30;
        routers[1]
            .wait_until(|fleet| total(fleet, 7) == tokens)
            .await;
    }
    assert_that!(total(restarted, 7) % 30, eq(0));
    assert_that!(total(restarted, 7), le(tokens - 500));
    for router in &routers {
        router.fleet.stop().await;
    }
}

/// Reports request 1 as run and all others as not run.
struct FixedOutcomes;

impl LocalRequests for FixedOutcomes {
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>> {
        let ran = attempt.request == 1;
        Box::pin(async move { if ran { Outcome::Ran } else { Outcome::NotRun } })
    }

    fn keys(&self, _: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        (since, Vec::new())
    }
}

#[tokio::test]
async fn outcomes_and_idle_servers_are_queried_from_peers() {
    let environment = Environment::spawn().await;
    let routers = spawn_three(&environment).await;
    routers[2].fleet.set_local_requests(Arc::new(FixedOutcomes));
    let attempt = |origin, request| Attempt {
        origin,
        request,
        number: 0,
    };
    let origin = routers[2].fleet.member().incarnation;
    let cases = [
        (origin, 1, Outcome::Ran),
        (origin, 2, Outcome::NotRun),
        (Incarnation(3), 1, Outcome::Unknown),
    ];
    for (origin, request, expected) in cases {
        let outcome = routers[0].fleet.outcome(attempt(origin, request)).await;
        assert_that!(outcome, eq(expected));
    }
    routers[2].fleet.set_idle(vec![ServerId(4)]);
    routers[0]
        .wait_until(|fleet| fleet.idle() == [ServerId(4)])
        .await;
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn a_stopped_peer_is_logged_and_removed_from_the_members() {
    let environment = Environment::spawn().await;
    let mut routers = spawn_three(&environment).await;
    let stopped = routers.remove(1);
    stopped.fleet.stop().await;
    drop(stopped);
    for router in &routers {
        with_timeout(router.log.wait_for(Event::PeerDown, 1)).await;
        router.wait_until(|fleet| fleet.members().len() == 2).await;
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn a_large_fleet_exchanges_usage_in_a_tree() {
    const ROUTERS: usize = 27;
    let environment = Environment::spawn().await;
    let mut routers = Vec::new();
    for index in 0..ROUTERS {
        let zone = format!("z{}", index % 3);
        routers.push(environment.spawn_router(&format!("r{index}"), &zone).await);
    }
    // All routers but the roots of the three zones have a parent, and most have no children.
    let is_leaf = |router: &Router| router.fleet.members().len() == 2;
    let tree_built = async {
        while routers.iter().filter(|router| is_leaf(router)).count() < ROUTERS / 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    with_timeout(tree_built).await;
    let revision = environment.put_pool("one").await;
    for router in &routers {
        router.wait_for_revision(revision).await;
    }
    let mut reporters = wait_for_exchange(&routers[..1]).await;
    let counts = |router: &Router| total(&router.fleet, 1_000) > 0;
    while !routers.iter().all(counts) {
        reporters[0].report(&routers[0], 1_000, 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    reporters[0].report(&routers[0], 7, 1_000);
    for router in &routers {
        router.wait_until(|fleet| total(fleet, 7) >= 1_000).await;
        assert_that!(total(&router.fleet, 7), eq(1_000));
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}
