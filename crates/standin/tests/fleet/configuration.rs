//! Propagation of configuration to routers, also during outages.

use googletest::prelude::*;
use mulberryyoke_event::Event;
use mulberryyoke_model::{Change, Entry};
use mulberryyoke_platform::kv::{Etcd, Options};
use mulberryyoke_platform::vm::{Role, State};
use mulberryyoke_standin::kv::{Action, Faults, Store};
use mulberryyoke_standin::vms;

use crate::environment::{Environment, LOOPBACK, pool, put, value, with_timeout};
use crate::sidecar;

#[tokio::test]
async fn writes_removals_and_deletions_are_applied() {
    let environment = Environment::spawn().await;
    environment.put_pool("one").await;
    let router = environment.spawn_router("r1", "a").await;
    let revision = environment.put_pool("two").await;
    router.wait_for_revision(revision).await;
    assert_that!(router.pools(), elements_are![eq("one"), eq("two")]);
    let removal = serde_json::to_vec(&Entry::default()).unwrap();
    let revision = environment.put("one", removal).await;
    router.wait_for_revision(revision).await;
    assert_that!(router.pools(), elements_are![eq("two")]);
    let revision = put(&environment.client, "two", None).await;
    router.wait_for_revision(revision).await;
    assert_that!(router.pools(), is_empty());
    router.fleet.stop().await;
}

#[tokio::test]
async fn an_unreadable_value_is_ignored() {
    let environment = Environment::spawn().await;
    let revision = environment.put_pool("one").await;
    let router = environment.spawn_router("r1", "a").await;
    router.wait_for_revision(revision).await;
    environment.put("one", b"{".to_vec()).await;
    let misplaced = Entry {
        object: Some(pool("one")),
        ..Entry::default()
    };
    let misplaced = serde_json::to_vec(&misplaced).unwrap();
    environment.put("two", misplaced).await;
    with_timeout(router.log.wait_for(Event::ConfigUnreadable, 2)).await;
    assert_that!(router.pools(), elements_are![eq("one")]);
    let revision = environment.put_pool("two").await;
    router.wait_for_revision(revision).await;
    assert_that!(router.pools(), elements_are![eq("one"), eq("two")]);
    router.fleet.stop().await;
}

#[tokio::test]
async fn a_router_started_in_an_outage_gets_the_configuration_from_a_peer() {
    let environment = Environment::spawn().await;
    let revision = environment.put_pool("one").await;
    let first = environment.spawn_router("r1", "a").await;
    first.wait_for_revision(revision).await;
    environment.set_kv_outage(true);
    with_timeout(first.log.wait_for(Event::KvDown, 1)).await;
    let second = environment.spawn_router("r2", "a").await;
    second.wait_for_revision(revision).await;
    assert_that!(second.pools(), elements_are![eq("one")]);
    environment.set_kv_outage(false);
    with_timeout(second.log.wait_for(Event::KvUp, 1)).await;
    let revision = environment.put_pool("two").await;
    first.wait_for_revision(revision).await;
    second.wait_for_revision(revision).await;
    first.fleet.stop().await;
    second.fleet.stop().await;
}

#[tokio::test]
async fn a_lone_router_started_in_an_outage_gets_the_configuration_from_a_sidecar() {
    let environment = Environment::spawn().await;
    environment.set_kv_outage(true);
    let change = Change {
        key: "pool/one".to_owned(),
        revision: 9,
        object: Some(pool("one")),
    };
    let control = sidecar::serve(vec![change]).await;
    environment.add_vm("s1", "a", Role::Sidecar, control);
    let router = environment.spawn_router("r1", "a").await;
    router.wait_for_revision(9).await;
    assert_that!(router.pools(), elements_are![eq("one")]);
    router.fleet.stop().await;
}

#[tokio::test]
async fn restored_older_contents_are_ignored_until_their_revision_catches_up() {
    let environment = Environment::spawn().await;
    environment.put_pool("one").await;
    environment.execute_kv_action(Action::Snapshot);
    environment.put_pool("two").await;
    let newest = environment.put_pool("three").await;
    let first = environment.spawn_router("r1", "a").await;
    first.wait_for_revision(newest).await;
    environment.execute_kv_action(Action::Restore);
    with_timeout(first.log.wait_for(Event::KvBehind, 1)).await;
    // Writes after the restore have lower revisions.
    let older = environment.put_pool("four").await;
    assert_that!(older, lt(newest));
    let second = environment.spawn_router("r2", "a").await;
    second.wait_for_revision(newest).await;
    with_timeout(second.log.wait_for(Event::KvBehind, 1)).await;
    let expected = ["one", "three", "two"];
    assert_that!(first.pools(), container_eq(expected));
    assert_that!(second.pools(), container_eq(expected));
    let mut revision = older;
    while revision <= newest {
        revision = environment.put_pool("five").await;
    }
    first.wait_for_revision(revision).await;
    second.wait_for_revision(revision).await;
    let expected = ["five", "four", "one", "three", "two"];
    assert_that!(first.pools(), container_eq(expected));
    assert_that!(second.pools(), container_eq(expected));
    assert_that!(first.log.count(Event::KvBehind), eq(1));
    first.fleet.stop().await;
    second.fleet.stop().await;
}

#[tokio::test]
async fn writes_after_a_restore_reach_routers_that_are_cut_off_in_order() {
    let environment = Environment::spawn().await;
    environment.put_pool("one").await;
    environment.execute_kv_action(Action::Snapshot);
    environment.put_pool("two").await;
    let newest = environment.put_pool("three").await;
    let first = environment.spawn_router("r1", "a").await;
    let second = environment.spawn_cut_off_router("r2", "a").await;
    first.wait_for_revision(newest).await;
    second.wait_for_revision(newest).await;
    environment.execute_kv_action(Action::Restore);
    with_timeout(first.log.wait_for(Event::KvBehind, 1)).await;
    let mut revision = environment.put_pool("four").await;
    assert_that!(revision, lt(newest));
    while revision <= newest {
        revision = environment.put_pool("five").await;
    }
    second.wait_for_revision(revision).await;
    let expected = ["five", "four", "one", "three", "two"];
    assert_that!(second.pools(), container_eq(expected));
    first.fleet.stop().await;
    second.fleet.stop().await;
}

#[tokio::test]
async fn no_change_is_missed_after_a_disconnect() {
    let environment = Environment::spawn().await;
    let router = environment.spawn_router("r1", "a").await;
    with_timeout(environment.kv.wait_for_watches(1)).await;
    for name in ["one", "two", "three"] {
        environment.execute_kv_action(Action::Disconnect);
        let revision = environment.put_pool(name).await;
        router.wait_for_revision(revision).await;
    }
    assert_that!(router.pools().len(), eq(3));
    router.fleet.stop().await;
}

#[tokio::test]
async fn a_deletion_is_applied_although_its_event_was_compacted() {
    let mut environment = Environment::spawn().await;
    environment.put_pool("one").await;
    let revision = environment.put_pool("two").await;
    let router = environment.spawn_router("r1", "a").await;
    router.wait_for_revision(revision).await;
    with_timeout(environment.kv.wait_for_watches(1)).await;
    let address = environment.kv.address();
    let placeholder = Store::bind(LOOPBACK).await.unwrap();
    let store = std::mem::replace(&mut environment.kv, placeholder).stop();
    // The router does not know this address and gets no events.
    let hidden = Store::rebind(store, LOOPBACK).await.unwrap();
    let client = Etcd::new(vec![hidden.address()], Options::default());
    put(&client, "one", None).await;
    let revision = put(&client, "three", Some(value("three"))).await;
    // The history no longer contains the deletion.
    hidden.set_faults(&Faults {
        once: vec![Action::Compact],
        ..Faults::default()
    });
    let _restarted = Store::rebind(hidden.stop(), address).await.unwrap();
    router.wait_for_revision(revision).await;
    assert_that!(router.pools(), elements_are![eq("three"), eq("two")]);
    router.fleet.stop().await;
}

#[tokio::test]
async fn two_routers_of_a_large_zone_watch_and_all_get_changes() {
    const ROUTERS: usize = 12;
    let environment = Environment::spawn().await;
    let mut routers = Vec::new();
    for index in 0..ROUTERS {
        routers.push(environment.spawn_router(&format!("r{index}"), "a").await);
    }
    for router in &routers {
        router
            .wait_until(|fleet| fleet.members().len() == ROUTERS)
            .await;
    }
    let two_watch = async {
        // The stand-in detects a closed watch only when it sends the next event.
        while environment.kv.stats().watching != 2 {
            let revision = environment.put_pool("one").await;
            for router in &routers {
                router.wait_for_revision(revision).await;
            }
        }
    };
    with_timeout(two_watch).await;
    let revision = environment.put_pool("two").await;
    for router in &routers {
        router.wait_for_revision(revision).await;
        assert_that!(router.pools(), elements_are![eq("one"), eq("two")]);
    }
    for router in &routers {
        router.fleet.stop().await;
    }
}

#[tokio::test]
async fn leaving_vms_are_detected_during_a_key_value_outage() {
    let environment = Environment::spawn().await;
    environment.set_kv_outage(true);
    let router = environment.spawn_router("r1", "a").await;
    router.wait_until(|fleet| !fleet.is_leaving("r1")).await;
    environment.vms.update(vms::Update {
        states: [("r1".to_owned(), State::Leaving)].into(),
        ..vms::Update::default()
    });
    router.wait_until(|fleet| fleet.is_leaving("r1")).await;
    router.fleet.stop().await;
}

#[tokio::test]
async fn merged_changes_do_not_replace_newer_ones() {
    let environment = Environment::spawn().await;
    environment.set_kv_outage(true);
    let router = environment.spawn_router("r1", "a").await;
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
