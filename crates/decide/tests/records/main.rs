//! Versions that are recorded in the key-value service, and what they tell of a stream.

mod losses;
mod service;

use googletest::prelude::*;
use mulberryyoke_decide::stream::{Conclusion, Write};
use mulberryyoke_model::VersionId;

use crate::service::{Gateway, POOL, Service};

const OLD: VersionId = VersionId(1);
const NEW: VersionId = VersionId(2);

/// Time for which a record stays after its version's last server, in milliseconds.
const RETENTION_MS: u64 = 300_000;

/// Time from the announcement of a removal to the removal, in milliseconds.
const RETIREMENT_MS: u64 = 60_000;

/// Lets a gateway act once a second and follow what it writes.
fn run(service: &mut Service, gateway: &mut Gateway, from: u64, to: u64) -> Vec<(u64, Write)> {
    let mut writes = Vec::new();
    for now in (from..to).step_by(1_000) {
        gateway.follow(service, now);
        for write in gateway.plan(true, 1, now) {
            service.write(write);
            writes.push((now, write));
        }
    }
    gateway.follow(service, to);
    writes
}

/// A service in which versions are recorded, and the gateway that did.
fn recorded(versions: &[VersionId]) -> (Service, Gateway) {
    let (mut service, mut gateway) = (Service::default(), Gateway::default());
    service.registered.extend(versions);
    run(&mut service, &mut gateway, 0, 1_000);
    (service, gateway)
}

#[gtest]
fn no_stream_begins_before_its_version_is_recorded() {
    let (mut service, mut gateway) = (Service::default(), Gateway::default());
    service.registered.insert(OLD);
    expect_that!(gateway.offers(), is_empty());
    expect_that!(gateway.conclude(), eq(Conclusion::None));
    gateway.follow(&service, 0);
    expect_that!(gateway.offers(), is_empty());
    let writes = gateway.plan(true, 3, 0);
    expect_that!(writes, container_eq([Write::Record((POOL, OLD), 0)]));
    service.write(writes[0]);
    expect_that!(gateway.offers(), is_empty());
    gateway.follow(&service, 10);
    expect_that!(gateway.offers(), container_eq([OLD]));
    expect_that!(gateway.conclude(), eq(Conclusion::Only(OLD)));
    expect_that!(gateway.plan(true, 3, 20), is_empty());
}

#[gtest]
fn other_gateways_write_only_what_the_watchers_did_not() {
    let (mut service, mut gateway) = (Service::default(), Gateway::default());
    service.registered.insert(OLD);
    gateway.follow(&service, 0);
    expect_that!(gateway.plan(false, 700, 0), is_empty());
    expect_that!(gateway.plan(false, 700, 7_999), is_empty());
    expect_that!(gateway.plan(false, 700, 8_000), not(is_empty()));
    expect_that!(gateway.plan(false, 700, 8_500), is_empty());
    expect_that!(gateway.plan(false, 700, 9_000), not(is_empty()));
    service.write(Write::Record((POOL, OLD), 0));
    gateway.follow(&service, 9_100);
    expect_that!(gateway.plan(false, 700, 20_000), is_empty());
}

#[gtest]
fn a_version_that_has_left_counts_at_gateways_that_start_later() {
    let (mut service, mut gateway) = recorded(&[OLD]);
    service.registered = [NEW].into();
    run(&mut service, &mut gateway, 1_000, 5_000);
    let mut later = Gateway::default();
    later.follow(&service, 5_000);
    expect_that!(later.conclude(), eq(Conclusion::Several));
    expect_that!(later.offers(), container_eq([NEW]));
}

#[gtest]
fn a_release_that_began_while_no_gateway_ran_is_recorded_once_streams_are_resumed() {
    let (mut service, _) = recorded(&[OLD]);
    service.registered.insert(NEW);
    let mut later = Gateway::default();
    later.served = vec![POOL];
    let writes = run(&mut service, &mut later, 5_000, 14_000);
    expect_that!(writes, is_empty());
    expect_that!(later.offers(), container_eq([OLD]));
    expect_that!(later.conclude(), eq(Conclusion::Only(OLD)));
    let writes = run(&mut service, &mut later, 14_000, 16_000);
    expect_that!(
        writes,
        container_eq([(15_000, Write::Record((POOL, NEW), 0))])
    );
    expect_that!(later.offers(), container_eq([OLD, NEW]));
}

#[gtest]
fn a_release_is_recorded_at_once_if_few_servers_of_the_recorded_version_are_left() {
    let (mut service, _) = recorded(&[OLD]);
    service.registered.insert(NEW);
    let mut later = Gateway::default();
    let writes = run(&mut service, &mut later, 5_000, 6_000);
    expect_that!(
        writes,
        container_eq([(5_000, Write::Record((POOL, NEW), 0))])
    );
}

#[gtest]
fn a_record_is_removed_only_after_retention_and_an_announcement() {
    let (mut service, mut gateway) = recorded(&[OLD, NEW]);
    service.registered = [NEW].into();
    let writes = run(&mut service, &mut gateway, 1_000, 400_000);
    let revision = |index: usize| match writes[index].1 {
        Write::Retire(_, revision) | Write::Remove(_, revision) => revision,
        _ => 0,
    };
    let retired = (
        1_000 + RETENTION_MS,
        Write::Retire((POOL, OLD), revision(0)),
    );
    let removed = (
        2_000 + RETENTION_MS + RETIREMENT_MS,
        Write::Remove((POOL, OLD), revision(1)),
    );
    expect_that!(writes, container_eq([retired, removed]));
    expect_that!(gateway.conclude(), eq(Conclusion::Only(NEW)));
}

#[gtest]
fn a_record_stays_while_its_removal_was_not_watched_without_a_gap() {
    let (mut service, mut gateway) = recorded(&[OLD, NEW]);
    service.registered = [NEW].into();
    run(&mut service, &mut gateway, 1_000, 300_000);
    // For three seconds its copy is not up to date.
    expect_that!(gateway.plan(true, 1, 303_000), is_empty());
    let writes = run(&mut service, &mut gateway, 304_000, 603_000);
    expect_that!(writes, is_empty());
    let writes = run(&mut service, &mut gateway, 603_000, 606_000);
    expect_that!(writes, not(is_empty()));
}

#[gtest]
fn a_version_that_returns_while_its_record_is_removed_is_recorded_again_first() {
    let (mut service, mut gateway) = recorded(&[OLD, NEW]);
    service.registered = [NEW].into();
    run(&mut service, &mut gateway, 1_000, 303_000);
    let retiring = service.listed.records[&(POOL, OLD)].revision;
    service.registered.insert(OLD);
    gateway.follow(&service, 304_000);
    expect_that!(gateway.offers(), container_eq([NEW]));
    let writes = run(&mut service, &mut gateway, 304_000, 305_000);
    expect_that!(
        writes,
        container_eq([(304_000, Write::Record((POOL, OLD), retiring))])
    );
    expect_that!(gateway.offers(), container_eq([OLD, NEW]));
    // A removal that was decided before takes effect late.
    service.write(Write::Remove((POOL, OLD), retiring));
    expect_that!(service.listed.records.len(), eq(2));
}

#[gtest]
fn records_that_a_restore_lost_are_written_again_before_they_are_marked() {
    let (mut service, mut gateway) = recorded(&[OLD]);
    let backup = service.clone();
    service.registered = [NEW].into();
    run(&mut service, &mut gateway, 1_000, 5_000);
    service.restore(&backup);
    gateway.follow(&service, 6_000);
    expect_that!(gateway.conclude(), eq(Conclusion::Several));
    expect_that!(gateway.offers(), container_eq([NEW]));
    let mut started = Gateway::default();
    started.follow(&service, 6_000);
    expect_that!(started.conclude(), eq(Conclusion::Several));
    let writes = run(&mut service, &mut gateway, 6_000, 9_000);
    let writes: Vec<Write> = writes.into_iter().map(|(_, write)| write).collect();
    let expected = [Write::Record((POOL, NEW), 0), Write::Mark(1)];
    expect_that!(writes, container_eq(expected));
    expect_that!(service.listed.records.len(), eq(2));
}

#[gtest]
fn after_a_restore_and_the_loss_of_all_gateways_nothing_is_concluded_until_all_streams_ended() {
    let (mut service, mut gateway) = recorded(&[OLD]);
    let backup = service.clone();
    service.registered = [NEW].into();
    run(&mut service, &mut gateway, 1_000, 5_000);
    // Streams that began on the new version may be in flight, which only the lost gateway knew.
    service.restore(&backup);
    service.registered = [OLD].into();
    let mut started = Gateway::default();
    run(&mut service, &mut started, 6_000, 305_000);
    expect_that!(started.conclude(), eq(Conclusion::Several));
    run(&mut service, &mut started, 305_000, 308_000);
    expect_that!(started.conclude(), eq(Conclusion::Only(OLD)));
}

#[gtest]
fn a_service_whose_first_era_is_not_zero_is_marked_at_the_first_start() {
    let (mut service, mut gateway) = (Service::default(), Gateway::default());
    service.era = 1;
    service.registered.insert(OLD);
    run(&mut service, &mut gateway, 0, 3_000);
    let mut later = Gateway::default();
    later.follow(&service, 3_000);
    expect_that!(later.conclude(), eq(Conclusion::Only(OLD)));
}

#[gtest]
fn a_flood_of_versions_is_bounded() {
    let (mut service, mut gateway) = (Service::default(), Gateway::default());
    service.registered.extend((0..4_000).map(VersionId));
    run(&mut service, &mut gateway, 0, 4_000);
    expect_that!(service.listed.records.len(), eq(2_048));
}
