//! Subsets of servers.

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
fn a_small_pool_is_held_whole() {
    let routers = routers(4);
    let servers = servers(SIZE);
    let chosen = select(&selector("r1", &routers), &servers);
    expect_that!(chosen.len(), eq(SIZE));
}

#[googletest::test]
fn own_zone_comes_first_but_not_alone() {
    let routers = routers(200);
    let servers = servers(300);
    for router in &routers {
        let chosen = select(&selector(router, &routers), &servers);
        let zones = chosen.iter().map(|id| zone_of(*id, &servers));
        let local = zones.filter(|zone| zone == "z0").count();
        expect_that!(chosen.len(), eq(SIZE));
        expect_true!((SIZE / 2..=SIZE * 3 / 4).contains(&local));
    }
}

#[googletest::test]
fn no_server_is_left_without_routers() {
    let routers = routers(40);
    let servers = servers(600);
    let mut holders: BTreeMap<ServerId, usize> = BTreeMap::new();
    let mut most = 0;
    for router in &routers {
        let chosen = select(&selector(router, &routers), &servers);
        most = most.max(chosen.len());
        for id in chosen {
            *holders.entry(id).or_default() += 1;
        }
    }
    expect_that!(holders.len(), eq(600));
    expect_true!(holders.values().all(|count| *count >= 2));
    // Two of 600 servers for each of 40 routers are 30 on average.
    expect_that!(most, le(50));
}

#[googletest::test]
fn a_change_moves_little() {
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
    // One of 100 routers and one of 300 servers have gone, of 99 times 20 links.
    expect_that!(moved, le(40));
}

#[googletest::test]
fn idle_servers_widen_the_subset() {
    let routers = routers(40);
    let servers = servers(200);
    let selector = selector("r1", &routers);
    let held = select(&selector, &servers);
    let idle: Vec<ServerId> = servers.iter().map(|s| ServerId::of(&s.name)).collect();
    let more = widen(&selector, &servers, &held, &idle, 5);
    expect_that!(more.len(), eq(5));
    expect_true!(more.iter().all(|id| !held.contains(id)));
    expect_true!(more.iter().all(|id| zone_of(*id, &servers) == "z0"));
    expect_that!(widen(&selector, &servers, &idle, &idle, 5), is_empty());
    expect_that!(widen(&selector, &servers, &held, &[], 5), is_empty());
}
