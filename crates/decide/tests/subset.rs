//! Selection of server subsets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use googletest::prelude::*;
use mulberryyoke_decide::subset::{Selector, select, widen};
use mulberryyoke_model::{Server, ServerId, State};

const SIZE: usize = 20;

fn server(index: usize) -> Arc<Server> {
    Arc::new(Server {
        name: format!("s{index}"),
        pool: "chat".to_owned(),
        region: String::new(),
        zone: format!("z{}", index % 3),
        control: "127.0.0.1:1".parse().unwrap(),
        data: "127.0.0.1:2".parse().unwrap(),
        slots: 1,
        state: State::Active,
        added_at: 0,
        changed_at: 0,
    })
}

fn servers(count: usize) -> Vec<Arc<Server>> {
    (0..count).map(server).collect()
}

fn routers(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("r{index}")).collect()
}

fn selector<'a>(router: &'a str, routers: &'a [String]) -> Selector<'a> {
    Selector {
        router,
        zone: "z0",
        routers,
        size: SIZE,
    }
}

fn zone_of(id: ServerId, servers: &[Arc<Server>]) -> String {
    let mut servers = servers.iter();
    let server = servers.find(|server| ServerId::of(&server.name) == id);
    server.unwrap().zone.clone()
}

#[googletest::test]
fn a_small_pool_is_selected_whole() {
    let routers = routers(4);
    let servers = servers(SIZE);
    let selected = select(&selector("r1", &routers), &servers);
    expect_that!(selected.len(), eq(SIZE));
}

#[googletest::test]
fn the_own_zone_is_preferred_but_not_exclusive() {
    let routers = routers(200);
    let servers = servers(300);
    for router in &routers {
        let selected = select(&selector(router, &routers), &servers);
        let zones = selected.iter().map(|id| zone_of(*id, &servers));
        let local = zones.filter(|zone| zone == "z0").count();
        expect_that!(selected.len(), eq(SIZE));
        expect_true!((SIZE / 2..=SIZE * 3 / 4).contains(&local));
    }
}

#[googletest::test]
fn every_server_is_selected_by_at_least_two_routers() {
    let routers = routers(40);
    let servers = servers(600);
    let mut routers_of: BTreeMap<ServerId, usize> = BTreeMap::new();
    let mut max = 0;
    for router in &routers {
        let selected = select(&selector(router, &routers), &servers);
        max = max.max(selected.len());
        for id in selected {
            *routers_of.entry(id).or_default() += 1;
        }
    }
    expect_that!(routers_of.len(), eq(600));
    expect_true!(routers_of.values().all(|count| *count >= 2));
    // Two routers for each of 600 servers make 30 servers per router on average.
    expect_that!(max, le(50));
}

#[googletest::test]
fn membership_changes_move_few_connections() {
    let servers = servers(300);
    let before = routers(100);
    let after = &before[..99];
    let mut moved = 0;
    for router in after {
        let old: BTreeSet<_> = select(&selector(router, &before), &servers)
            .into_iter()
            .collect();
        let fewer = &servers[1..];
        let new: BTreeSet<_> = select(&selector(router, after), fewer)
            .into_iter()
            .collect();
        moved += new.difference(&old).count();
    }
    // One of 100 routers and one of 300 servers are removed; 99 times 20 connections remain.
    expect_that!(moved, le(40));
}

#[googletest::test]
fn widening_adds_idle_servers_that_are_not_held() {
    let routers = routers(40);
    let servers = servers(200);
    let selector = selector("r1", &routers);
    let held = select(&selector, &servers);
    let idle: Vec<ServerId> = servers.iter().map(|s| ServerId::of(&s.name)).collect();
    let added = widen(&selector, &servers, &held, &idle, 5);
    expect_that!(added.len(), eq(5));
    expect_true!(added.iter().all(|id| !held.contains(id)));
    expect_true!(added.iter().all(|id| zone_of(*id, &servers) == "z0"));
    expect_that!(widen(&selector, &servers, &idle, &idle, 5), is_empty());
    expect_that!(widen(&selector, &servers, &held, &[], 5), is_empty());
}
