//! Rate limiting of cold servers, simulated with several ways of splitting the limit.

mod fleet;
mod gateway;

use googletest::prelude::*;
use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::cold::{Limit, Members, Window, share};
use mulberryyoke_model::ServerId;

use crate::fleet::{Fault, Fleet};
use crate::gateway::Strategy;

/// Rate limit of the simulated server: 24.5 requests in any second.
pub(crate) const LIMIT: Limit = Limit {
    per_s: 13.0,
    overage: 1.5,
    slack: 5.0,
};

/// Maximum number of requests in any second within the limit.
const MAX_PER_SECOND: usize = 24;

const FLEET_SIZES: [usize; 3] = [30, 100, 300];

const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::ZoneOutage,
    Fault::FleetRestart,
    Fault::LeasesExpired,
    Fault::Partition,
];

#[gtest]
fn whole_requests_leave_room_for_a_second_view_of_the_fleet() {
    let table = [
        (13.0, 1.5, 5.0, 12),
        (4.0, 1.5, 5.0, 4),
        (2.0, 1.0, 0.0, 1),
        (0.5, 1.0, 0.0, 0),
        (0.0, 1.5, 5.0, 0),
        (-1.0, 1.0, 0.0, 0),
        (100.0, 1.0, 0.0, 50),
    ];
    for (per_s, overage, slack, requests) in table {
        let limit = Limit {
            per_s,
            overage,
            slack,
        };
        expect_that!(limit.requests_per_s(), eq(requests), "{limit:?}");
    }
}

#[gtest]
fn quotas_of_gateways_with_the_same_view_add_up_to_the_limit() {
    for (gateways, requests) in [
        (1, 12),
        (5, 12),
        (12, 12),
        (30, 12),
        (300, 12),
        (3, 0),
        (7, 1),
    ] {
        let ranks: Vec<u64> = (0..gateways)
            .map(|n| name_hash(&format!("g-{n}")))
            .collect();
        for server in 0..50 {
            let quotas = ranks.iter().map(|&own| {
                let others = ranks.iter().copied().filter(|rank| *rank != own);
                share(ServerId(server), requests, own, others)
            });
            let total: u32 = quotas.sum();
            let holders = requests.min(gateways);
            let expected = requests
                .checked_div(holders)
                .map_or(0, |each| each * holders);
            expect_that!(
                total,
                eq(expected),
                "{gateways} gateways, {requests} requests"
            );
        }
    }
}

#[gtest]
fn a_window_counts_any_second_and_a_margin() {
    let mut window = Window::default();
    expect_that!(window.try_acquire(2, 100), eq(true));
    expect_that!(window.try_acquire(2, 600), eq(true));
    expect_that!(
        window.try_acquire(2, 1_150),
        eq(false),
        "within the second and its margin"
    );
    expect_that!(window.try_acquire(2, 1_200), eq(true));
    expect_that!(window.try_acquire(2, 1_300), eq(false));
    expect_that!(window.try_acquire(3, 1_300), eq(true));
    expect_that!(window.try_acquire(0, 9_000), eq(false));
}

#[gtest]
fn there_are_no_ranks_during_startup_and_expired_members_count_for_a_grace_period() {
    let mut members = Members::default();
    expect_that!(members.ranks(10_000), none());
    members.start(10_000);
    members.join("a");
    members.join("b");
    expect_that!(members.ranks(12_900), none());
    let starting = members.view(12_900);
    expect_that!(members.ranks(13_000), some(len(eq(2))));
    expect_that!(members.view(13_000), not(eq(starting)));
    let before = members.view(20_000);
    members.leave("a", 20_000);
    members.expire(49_000);
    expect_that!(members.ranks(49_000), some(len(eq(2))));
    expect_that!(members.view(49_000), eq(before));
    members.expire(50_001);
    expect_that!(members.ranks(50_001), some(len(eq(1))));
    expect_that!(members.view(50_001), not(eq(before)));
}

#[gtest]
fn quota_holders_keep_the_limit_under_every_fault() {
    for gateways in FLEET_SIZES {
        for fault in FAULTS {
            let outcome = Fleet::new(gateways, 7).run(Strategy::QuotaHolders, fault);
            expect_that!(
                outcome.busiest,
                le(MAX_PER_SECOND),
                "{gateways} gateways, {fault:?}"
            );
        }
    }
}

/// With an even split each gateway sends at least one request in the first second; with pacing
/// it is left to chance how many requests coincide.
#[gtest]
fn an_even_split_exceeds_the_limit_and_a_paced_one_the_target_rate() {
    let target = LIMIT.requests_per_s() as usize;
    for gateways in FLEET_SIZES {
        let run = |strategy| Fleet::new(gateways, 7).run(strategy, Fault::None);
        expect_that!(run(Strategy::QuotaHolders).busiest, le(target));
        expect_that!(run(Strategy::EvenSplit).busiest, gt(MAX_PER_SECOND));
        expect_that!(run(Strategy::PacedSplit).busiest, gt(target));
    }
}

#[gtest]
fn a_cold_server_gets_most_of_its_limit() {
    for gateways in FLEET_SIZES {
        let outcome = Fleet::new(gateways, 11).run(Strategy::QuotaHolders, Fault::None);
        // Twelve a second for three seconds, except for the first and the last window.
        expect_that!(outcome.served, ge(20), "{gateways} gateways");
    }
}
