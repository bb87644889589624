//! Origins of streams, the versions of a pool, and the gateways that keep origins.

use std::collections::HashSet;

use googletest::prelude::*;
use mulberryyoke_decide::stream::{Origin, Origins, Sighting, Versions, replicas};
use mulberryyoke_model::{PoolId, StreamId, VersionId};

const POOL: PoolId = PoolId(1);
const OTHER_POOL: PoolId = PoolId(2);
const OLD: VersionId = VersionId(1);
const NEW: VersionId = VersionId(2);

/// Time for which a version counts after its last server, in milliseconds.
const RETENTION_MS: u64 = 300_000;

const fn origin(version: VersionId) -> Origin {
    Origin {
        pool: POOL,
        version,
    }
}

#[gtest]
fn the_first_origin_of_a_stream_stays_until_its_time_has_passed() {
    let mut origins = Origins::default();
    let stream = StreamId::of("noor", "a");
    expect_that!(
        origins.record(stream, origin(OLD), 2_000, true, 1_000),
        eq(true)
    );
    expect_that!(
        origins.record(stream, origin(NEW), 3_000, false, 1_500),
        eq(true)
    );
    expect_that!(origins.get(stream, 2_999), some(eq(origin(OLD))));
    expect_that!(origins.get(stream, 3_000), none());
    origins.expire(3_000);
    expect_that!(origins.is_empty(), eq(true));
}

#[gtest]
fn ids_of_another_customer_or_request_are_other_streams() {
    let mut origins = Origins::default();
    origins.record(StreamId::of("noor", "a"), origin(OLD), 2_000, true, 0);
    for (customer, request) in [("sami", "a"), ("noor", "b"), ("noora", ""), ("", "noora")] {
        let stream = StreamId::of(customer, request);
        expect_that!(origins.get(stream, 1_000), none(), "{customer} {request}");
    }
}

#[gtest]
fn a_flood_of_streams_is_bounded_and_leaves_those_that_are_known() {
    let mut origins = Origins::default();
    let first = StreamId(u64::MAX);
    origins.record(first, origin(OLD), 10_000, true, 0);
    let kept =
        (0..100_000).filter(|id| origins.record(StreamId(*id), origin(NEW), 5_000, false, 0));
    expect_that!(kept.count(), eq(65_535));
    expect_that!(origins.get(first, 0), some(eq(origin(OLD))));
    // Those whose time has passed make room.
    expect_that!(
        origins.record(StreamId(200_000), origin(NEW), 9_000, false, 6_000),
        eq(true)
    );
    expect_that!(origins.len(), eq(2));
}

#[gtest]
fn own_streams_of_a_pool_are_listed() {
    let mut origins = Origins::default();
    let other = Origin {
        pool: OTHER_POOL,
        version: OLD,
    };
    origins.record(StreamId(1), origin(OLD), 5_000, true, 0);
    origins.record(StreamId(2), origin(OLD), 5_000, false, 0);
    origins.record(StreamId(3), other, 5_000, true, 0);
    let own: Vec<_> = origins.own(POOL).collect();
    expect_that!(own, elements_are![eq(&(StreamId(1), origin(OLD), 5_000))]);
}

#[gtest]
fn a_pool_is_mixed_while_an_earlier_version_may_have_begun_a_stream() {
    let mut versions = Versions::default();
    versions.observe(POOL, OLD, 1_000);
    versions.observe(OTHER_POOL, OLD, 1_000);
    versions.observe(OTHER_POOL, OLD, 1_500);
    expect_that!(versions.mixed(1_500), is_empty());
    for now in [2_000, 3_000] {
        versions.observe(POOL, NEW, now);
    }
    expect_that!(versions.mixed(3_000), elements_are![eq(&POOL)]);
    expect_that!(versions.is_mixed(OTHER_POOL, 3_000), eq(false));
    // Nothing of the old version is left.
    let end = 1_000 + RETENTION_MS;
    versions.observe(POOL, NEW, end - 1);
    expect_that!(versions.is_mixed(POOL, end - 1), eq(true));
    expect_that!(versions.is_mixed(POOL, end), eq(false));
    versions.expire(end);
    expect_that!(versions.observed(&[POOL]), len(eq(1)));
}

#[gtest]
fn what_others_saw_counts_and_is_not_told_again() {
    let mut versions = Versions::default();
    versions.observe(POOL, NEW, 5_000);
    versions.merge(Sighting {
        pool: POOL,
        version: OLD,
        at: 4_000,
    });
    expect_that!(versions.is_mixed(POOL, 5_000), eq(true));
    let told: Vec<VersionId> = versions
        .observed(&versions.mixed(5_000))
        .into_iter()
        .map(|sighting| sighting.version)
        .collect();
    expect_that!(told, elements_are![eq(&NEW)]);
}

#[gtest]
fn one_of_three_asked_gateways_keeps_each_origin_although_any_one_is_lost() {
    let names: Vec<String> = (0..30).map(|index| format!("g{index}")).collect();
    let mut used = HashSet::new();
    for id in 0..300 {
        let stream = StreamId(id);
        let (first, asker) = (&names[0], &names[1]);
        let others = |own: &str| {
            let names = names.iter().map(String::as_str);
            names.filter(|name| *name != own).collect::<Vec<_>>()
        };
        let told = replicas(stream, others(first).into_iter(), 2);
        let asked = replicas(stream, others(asker).into_iter(), 3);
        for lost in &told {
            let is_kept = told
                .iter()
                .any(|name| name != lost && (asked.contains(name) || *name == asker));
            expect_that!(is_kept, eq(true), "{id} {lost}");
        }
        used.extend(told);
    }
    expect_that!(used.len(), eq(29));
}
