//! Cold servers: a load that would end them, replayed with two ways of sharing what they bear.

mod fleet;
mod way;

use googletest::prelude::*;
use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::cold::{Limit, Members, Window, share};
use mulberryyoke_model::ServerId;

use crate::fleet::{Fleet, Trouble};
use crate::way::Way;

/// What a server of the tests bears while it is cold: 24.5 requests in any second.
pub(crate) const BOUND: Limit = Limit {
    per_s: 13.0,
    overage: 1.5,
    slack: 5.0,
};

/// Requests in any second that break the bound.
const MOST: usize = 24;

const SIZES: [usize; 3] = [30, 100, 300];

const TROUBLES: [Trouble; 5] = [
    Trouble::None,
    Trouble::ZoneLost,
    Trouble::AllStart,
    Trouble::Lapsed,
    Trouble::CutOff,
];

#[gtest]
fn the_bound_in_whole_requests_leaves_room_for_a_second_view_of_the_fleet() {
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
        let bound = Limit {
            per_s,
            overage,
            slack,
        };
        expect_that!(bound.requests_per_s(), eq(requests), "{bound:?}");
    }
}

#[gtest]
fn gateways_that_agree_hold_together_what_is_shared_out_and_no_more() {
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
            let held = ranks.iter().map(|&own| {
                let others = ranks.iter().copied().filter(|rank| *rank != own);
                share(ServerId(server), requests, own, others)
            });
            let held: u32 = held.sum();
            let holders = requests.min(gateways);
            let least = requests
                .checked_div(holders)
                .map_or(0, |each| each * holders);
            expect_that!(held, eq(least), "{gateways} gateways, {requests} requests");
        }
    }
}

#[gtest]
fn a_window_counts_any_second_and_some_more() {
    let mut window = Window::default();
    expect_that!(window.try_acquire(2, 100), eq(true));
    expect_that!(window.try_acquire(2, 600), eq(true));
    expect_that!(
        window.try_acquire(2, 1_150),
        eq(false),
        "a second and what is late"
    );
    expect_that!(window.try_acquire(2, 1_200), eq(true));
    expect_that!(window.try_acquire(2, 1_300), eq(false));
    expect_that!(window.try_acquire(3, 1_300), eq(true));
    expect_that!(window.try_acquire(0, 9_000), eq(false));
}

#[gtest]
fn one_that_has_just_started_knows_too_little_and_those_that_lapse_still_count() {
    let mut members = Members::default();
    expect_that!(members.ranks(10_000), none());
    members.start(10_000);
    members.join("a");
    members.join("b");
    expect_that!(members.ranks(12_900), none());
    let young = members.view(12_900);
    expect_that!(members.ranks(13_000), some(len(eq(2))));
    expect_that!(members.view(13_000), not(eq(young)));
    let before = members.view(20_000);
    members.leave("a", 20_000);
    members.expire(49_000);
    expect_that!(members.ranks(49_000), some(len(eq(2))));
    expect_that!(members.view(49_000), eq(before));
    members.expire(50_001);
    expect_that!(members.ranks(50_001), some(len(eq(1))));
    expect_that!(members.view(50_001), not(eq(before)));
}

/// The way in use: no second of a cold server has more than it bears, whatever happens to the
/// fleet meanwhile.
#[gtest]
fn shared_out_to_holders_the_bound_is_kept_in_every_trouble() {
    for gateways in SIZES {
        for trouble in TROUBLES {
            let played = Fleet::new(gateways, 7).play(Way::Holders, trouble);
            expect_that!(played.busiest, le(MOST), "{gateways} gateways, {trouble:?}");
        }
    }
}

/// The other ways that were weighed, with the loads at which they fail: where each gateway sends
/// one request at a time some second has one of each, and where they wait in turn only luck
/// keeps those of several from coming together.
#[gtest]
fn divided_among_all_it_is_exceeded_or_kept_by_luck() {
    let shared = BOUND.requests_per_s() as usize;
    for gateways in SIZES {
        let played = |way| Fleet::new(gateways, 7).play(way, Trouble::None);
        expect_that!(played(Way::Holders).busiest, le(shared));
        expect_that!(played(Way::DividedAtOnce).busiest, gt(MOST));
        expect_that!(played(Way::DividedInTurn).busiest, gt(shared));
    }
}

#[gtest]
fn a_cold_server_is_given_what_it_bears_all_the_while() {
    for gateways in SIZES {
        let played = Fleet::new(gateways, 11).play(Way::Holders, Trouble::None);
        // Twelve a second for three seconds, less the first and last windows.
        expect_that!(played.served, ge(20), "{gateways} gateways");
    }
}
