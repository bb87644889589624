//! Configuration: newest first, never backwards, whoever is down.

use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_model::{Change, Entry};
use mulberryyoke_platform::kv::{Etcd, Options};
use mulberryyoke_platform::vm::{Role, State};
use mulberryyoke_standin::kv::{Action, Faults, Store};
use mulberryyoke_standin::vms;

use crate::sidecar;
use crate::world::{LOOPBACK, World, limit, pool, put, value};

#[tokio::test]
async fn writes_removals_and_deletions_come_into_force() {
    let world = World::open().await;
    world.accept("one").await;
    let router = world.router("r1", "a").await;
    let revision = world.accept("two").await;
    router.reach(revision).await;
    assert_that!(router.pools(), elements_are![eq("one"), eq("two")]);
    let removal = serde_json::to_vec(&Entry::default()).unwrap();
    let revision = world.put("one", removal).await;
    router.reach(revision).await;
    assert_that!(router.pools(), elements_are![eq("two")]);
    let revision = put(&world.client, "two", None).await;
    router.reach(revision).await;
    assert_that!(router.pools(), is_empty());
    router.fleet.stop().await;
}

#[tokio::test]
async fn an_unreadable_value_changes_nothing() {
    let world = World::open().await;
    let revision = world.accept("one").await;
    let router = world.router("r1", "a").await;
    router.reach(revision).await;
    world.put("one", b"{".to_vec()).await;
    let misplaced = Entry {
        object: Some(pool("one")),
        ..Entry::default()
    };
    let misplaced = serde_json::to_vec(&misplaced).unwrap();
    world.put("two", misplaced).await;
    limit(router.log.wait(Event::ConfigUnreadable, 2)).await;
    assert_that!(router.pools(), elements_are![eq("one")]);
    let revision = world.accept("two").await;
    router.reach(revision).await;
    assert_that!(router.pools(), elements_are![eq("one"), eq("two")]);
    router.fleet.stop().await;
}

#[tokio::test]
async fn a_router_restarted_in_an_outage_learns_from_a_peer() {
    let world = World::open().await;
    let revision = world.accept("one").await;
    let first = world.router("r1", "a").await;
    first.reach(revision).await;
    world.outage(true);
    limit(first.log.wait(Event::KvDown, 1)).await;
    let second = world.router("r2", "a").await;
    second.reach(revision).await;
    assert_that!(second.pools(), elements_are![eq("one")]);
    world.outage(false);
    limit(second.log.wait(Event::KvUp, 1)).await;
    let revision = world.accept("two").await;
    first.reach(revision).await;
    second.reach(revision).await;
    first.fleet.stop().await;
    second.fleet.stop().await;
}

#[tokio::test]
async fn a_lone_router_restarted_in_an_outage_learns_from_a_sidecar() {
    let world = World::open().await;
    world.outage(true);
    let change = Change {
        key: "pool/one".to_owned(),
        revision: 9,
        object: Some(pool("one")),
    };
    let control = sidecar::serve(vec![change]).await;
    world.list("s1", "a", Role::Sidecar, control);
    let router = world.router("r1", "a").await;
    router.reach(9).await;
    assert_that!(router.pools(), elements_are![eq("one")]);
    router.fleet.stop().await;
}

#[tokio::test]
async fn older_contents_are_not_followed_until_they_are_passed() {
    let world = World::open().await;
    world.accept("one").await;
    world.order(Action::Snapshot);
    world.accept("two").await;
    let accepted = world.accept("three").await;
    let first = world.router("r1", "a").await;
    first.reach(accepted).await;
    world.order(Action::Restore);
    limit(first.log.wait(Event::KvBehind, 1)).await;
    // What is written meanwhile has a lower revision.
    let behind = world.accept("four").await;
    assert_that!(behind, lt(accepted));
    let second = world.router("r2", "a").await;
    second.reach(accepted).await;
    limit(second.log.wait(Event::KvBehind, 1)).await;
    let kept = ["one", "three", "two"];
    assert_that!(first.pools(), container_eq(kept));
    assert_that!(second.pools(), container_eq(kept));
    let mut revision = behind;
    while revision <= accepted {
        revision = world.accept("five").await;
    }
    first.reach(revision).await;
    second.reach(revision).await;
    let all = ["five", "four", "one", "three", "two"];
    assert_that!(first.pools(), container_eq(all));
    assert_that!(second.pools(), container_eq(all));
    assert_that!(first.log.count(Event::KvBehind), eq(1));
    first.fleet.stop().await;
    second.fleet.stop().await;
}

#[tokio::test]
async fn a_watch_that_was_cut_misses_nothing() {
    let world = World::open().await;
    let router = world.router("r1", "a").await;
    limit(world.kv.wait_for_watches(1)).await;
    for name in ["one", "two", "three"] {
        world.order(Action::Disconnect);
        let revision = world.accept(name).await;
        router.reach(revision).await;
    }
    assert_that!(router.pools().len(), eq(3));
    router.fleet.stop().await;
}

#[tokio::test]
async fn a_deletion_lost_to_compaction_comes_into_force() {
    let mut world = World::open().await;
    world.accept("one").await;
    let revision = world.accept("two").await;
    let router = world.router("r1", "a").await;
    router.reach(revision).await;
    limit(world.kv.wait_for_watches(1)).await;
    let address = world.kv.address();
    let elsewhere = Store::bind(LOOPBACK).await.unwrap();
    let store = std::mem::replace(&mut world.kv, elsewhere).stop();
    // The router cannot see what happens meanwhile.
    let aside = Store::rebind(store, LOOPBACK).await.unwrap();
    let client = Etcd::new(vec![aside.address()], Options::default());
    put(&client, "one", None).await;
    // What the service still remembers goes on from here.
    let revision = put(&client, "three", Some(value("three"))).await;
    aside.set_faults(&Faults {
        once: vec![Action::Compact],
        ..Faults::default()
    });
    let _back = Store::rebind(aside.stop(), address).await.unwrap();
    router.reach(revision).await;
    assert_that!(router.pools(), elements_are![eq("three"), eq("two")]);
    router.fleet.stop().await;
}

#[tokio::test]
async fn few_routers_of_a_large_zone_watch_and_all_learn() {
    const ROUTERS: usize = 12;
    let world = World::open().await;
    let mut routers = Vec::new();
    for index in 0..ROUTERS {
        routers.push(world.router(&format!("r{index}"), "a").await);
    }
    for router in &routers {
        router.until(|fleet| fleet.members().len() == ROUTERS).await;
    }
    let relieved = async {
        // The stand-in finds out with the next write that a watch has ended.
        while world.kv.stats().watching != 2 {
            let revision = world.accept("one").await;
            for router in &routers {
                router.reach(revision).await;
            }
        }
    };
    limit(relieved).await;
    let revision = world.accept("two").await;
    for router in &routers {
        router.reach(revision).await;
        assert_that!(router.pools(), elements_are![eq("one"), eq("two")]);
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn leaving_vms_are_known_while_the_key_value_service_is_down() {
    let world = World::open().await;
    world.outage(true);
    let router = world.router("r1", "a").await;
    router.until(|fleet| !fleet.is_leaving("r1")).await;
    world.vms.update(vms::Update {
        states: [("r1".to_owned(), State::Leaving)].into(),
        ..vms::Update::default()
    });
    router.until(|fleet| fleet.is_leaving("r1")).await;
    router.fleet.stop().await;
}

#[tokio::test]
async fn offers_do_not_go_backwards() {
    let world = World::open().await;
    world.outage(true);
    let router = world.router("r1", "a").await;
    let change = |revision, name: Option<&str>| Change {
        key: "pool/one".to_owned(),
        revision,
        object: name.map(pool),
    };
    router.fleet.merge(vec![change(9, Some("one"))]);
    router.fleet.merge(vec![change(8, None)]);
    assert_that!(router.pools(), elements_are![eq("one")]);
    router.fleet.merge(vec![change(10, None)]);
    assert_that!(router.pools(), is_empty());
    router.fleet.stop().await;
}
