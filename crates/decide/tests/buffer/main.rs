//! Bytes held for callers: shares, cuts, and a replay of slow callers at a small node.

mod node;

use googletest::prelude::*;
use mulberryyoke_decide::buffer::{
    AccountKey, BUDGET_DIVISOR, Budget, Cause, REQUESTS_DIVISOR, STALL_MS,
};
use mulberryyoke_model::CustomerId;

use crate::node::{Caller, Node, Pace};

const MB: u64 = 1 << 20;

/// Memory of the nodes, in megabytes, and the budget that it gives.
const MEMORY_MB: u64 = 120;
const BUDGET: u64 = MEMORY_MB * MB / BUDGET_DIVISOR;

fn customer(index: u32) -> CustomerId {
    CustomerId::of(&format!("customer {index}"))
}

/// Opens an account whose response is offered at time 0.
fn offered(budget: &mut Budget, customer: Option<CustomerId>) -> AccountKey {
    let account = budget.open(customer);
    budget.offer(account, 0);
    account
}

/// Customer, bytes and time of each response, in this order, and the index of the first one that is
/// cut.
type Case = (&'static [(u32, u64, u64)], Option<usize>);

#[gtest]
fn the_largest_response_of_the_largest_customer_is_cut() {
    let table: [Case; 6] = [
        // The budget may be used up, by one or by many.
        (&[(0, BUDGET, 0)], None),
        (&[(0, BUDGET / 2, 0), (1, BUDGET / 2, 0)], None),
        // The larger of two.
        (&[(0, BUDGET / 2 + 1, 0), (1, BUDGET / 2, 0)], Some(0)),
        (&[(0, BUDGET / 2, 0), (1, BUDGET / 2 + 1, 0)], Some(1)),
        // Among equals, the one whose caller has taken nothing for longest.
        (
            &[(0, BUDGET / 2, 9), (0, BUDGET / 2, 3), (0, 1, 10)],
            Some(1),
        ),
        // A customer with many responses loses one of these, not a larger one of another customer.
        (
            &[
                (0, BUDGET * 30 / 100, 0),
                (1, BUDGET * 20 / 100, 0),
                (1, BUDGET * 20 / 100, 1),
                (1, BUDGET * 20 / 100, 2),
                (1, BUDGET * 20 / 100, 3),
            ],
            Some(1),
        ),
    ];
    for (held, expected) in table {
        let mut budget = Budget::new(MEMORY_MB);
        let mut accounts = Vec::new();
        let mut cuts = Vec::new();
        for (index, bytes, now) in held {
            let account = budget.open(Some(customer(*index)));
            budget.offer(account, *now);
            accounts.push(account);
            cuts.extend(budget.hold(account, *bytes, *now));
        }
        let first = cuts.first();
        let cut = first.and_then(|cut| accounts.iter().position(|account| *account == cut.account));
        expect_that!(cut, eq(expected), "{held:?}");
        expect_that!(cuts.len(), eq(usize::from(expected.is_some())), "{held:?}");
        for cut in cuts {
            expect_that!(cut.cause, eq(Cause::Exceeded));
            expect_that!(cut.held, gt(cut.share), "{held:?}");
        }
        expect_that!(budget.responses(), le(BUDGET));
    }
}

#[gtest]
fn responses_are_read_up_to_an_equal_share() {
    let mut budget = Budget::new(MEMORY_MB);
    let alone = offered(&mut budget, Some(customer(0)));
    expect_that!(budget.may_read(alone), eq(true));
    // Half is left for others.
    let _ = budget.hold(alone, BUDGET / 2 - 1, 0);
    expect_that!(budget.may_read(alone), eq(true));
    let _ = budget.hold(alone, 1, 0);
    expect_that!(budget.may_read(alone), eq(false));
    // Another customer may read as much as is its own share, though the first holds more.
    let other = offered(&mut budget, Some(customer(1)));
    let _ = budget.hold(other, BUDGET / 3 - 1, 0);
    expect_that!(budget.may_read(other), eq(true));
    // Two responses of one customer divide its share.
    let second = offered(&mut budget, Some(customer(1)));
    let _ = budget.hold(second, 1, 0);
    expect_that!(budget.may_read(other), eq(false));
    expect_that!(budget.may_read(second), eq(true));
    // A caller that takes its response gives room to all: nothing is short.
    budget.take(alone, BUDGET / 2, 0);
    budget.take(other, BUDGET / 3, 0);
    expect_that!(budget.may_read(alone), eq(true));
    expect_that!(budget.may_read(other), eq(true));
}

#[gtest]
fn a_caller_that_takes_nothing_is_cut_at_its_deadline() {
    let mut budget = Budget::new(MEMORY_MB);
    let [stalled, steady, idle, collected] = [(); 4].map(|()| budget.open(None));
    for account in [stalled, steady, idle] {
        budget.offer(account, 0);
    }
    for account in [stalled, steady, collected] {
        let _ = budget.hold(account, 1_000, 100);
    }
    budget.take(steady, 1, STALL_MS);
    expect_that!(budget.cut_stalled(STALL_MS + 99), is_empty());
    let cuts = budget.cut_stalled(STALL_MS + 100);
    expect_that!(cuts.len(), eq(1));
    expect_that!(cuts[0].account, eq(stalled));
    expect_that!(cuts[0].cause, eq(Cause::Stalled));
    expect_that!(cuts[0].held, eq(1_000));
    // A response that is still being collected is offered to nobody, so nobody stalls.
    expect_that!(budget.cut_stalled(2 * STALL_MS - 1), is_empty());
    let cuts = budget.cut_stalled(2 * STALL_MS);
    expect_that!(cuts.len(), eq(1));
    expect_that!(cuts[0].account, eq(steady));
    expect_that!(budget.responses(), eq(1_000));
}

#[gtest]
fn bytes_of_later_events_do_not_postpone_the_cut() {
    // Guards against a caller that never reads and is kept by a stream that goes on.
    let mut budget = Budget::new(MEMORY_MB);
    let account = offered(&mut budget, None);
    for now in (0..STALL_MS).step_by(100) {
        let _ = budget.hold(account, 200, now);
    }
    expect_that!(budget.cut_stalled(STALL_MS).len(), eq(1));
}

#[gtest]
fn callers_are_not_cut_for_a_pause_of_the_process() {
    let mut budget = Budget::new(MEMORY_MB);
    let account = offered(&mut budget, None);
    let _ = budget.hold(account, 200, 0);
    budget.postpone(4_000);
    expect_that!(budget.cut_stalled(STALL_MS + 3_999), is_empty());
    expect_that!(budget.cut_stalled(STALL_MS + 4_000).len(), eq(1));
}

#[gtest]
fn request_bodies_are_accepted_up_to_their_part_and_share() {
    let max = BUDGET / REQUESTS_DIVISOR;
    let mut budget = Budget::new(MEMORY_MB);
    // A single customer may use the whole part.
    let greedy = budget.open(Some(customer(0)));
    expect_that!(budget.hold_request(greedy, max), eq(true));
    expect_that!(budget.admits_request(Some(customer(0)), 1), eq(false));
    expect_that!(budget.admits_request(Some(customer(1)), 1), eq(false));
    budget.release_request(greedy, max / 2 - 1);
    // Above half of it, each customer gets an equal share.
    let modest = budget.open(Some(customer(1)));
    expect_that!(budget.hold_request(modest, 1), eq(true));
    expect_that!(budget.admits_request(Some(customer(0)), 1), eq(false));
    expect_that!(
        budget.admits_request(Some(customer(1)), max / 2 - 2),
        eq(true)
    );
    // Responses leave less to requests.
    let slow = offered(&mut budget, Some(customer(2)));
    let _ = budget.hold(slow, BUDGET - budget.requests(), 0);
    expect_that!(budget.admits_request(Some(customer(1)), 1), eq(false));
    budget.close(slow);
    expect_that!(budget.admits_request(Some(customer(1)), 1), eq(true));
    budget.close(greedy);
    budget.close(modest);
    expect_that!((budget.requests(), budget.responses()), eq((0, 0)));
}

#[gtest]
fn request_bodies_narrow_the_share_of_responses() {
    let mut budget = Budget::new(MEMORY_MB);
    let slow = offered(&mut budget, Some(customer(0)));
    let _ = budget.hold(slow, BUDGET / 2 - 1, 0);
    expect_that!(budget.may_read(slow), eq(true));
    let request = budget.open(Some(customer(1)));
    expect_that!(budget.hold_request(request, MB), eq(true));
    expect_that!(budget.may_read(slow), eq(false));
}

#[gtest]
fn an_account_that_was_cut_is_ignored() {
    let mut budget = Budget::new(MEMORY_MB);
    let account = offered(&mut budget, None);
    let cuts = budget.hold(account, BUDGET + 1, 0);
    expect_that!(cuts.len(), eq(1));
    expect_that!(budget.hold(account, 1, 0), is_empty());
    budget.take(account, BUDGET + 1, 0);
    budget.release_request(account, 1);
    budget.close(account);
    expect_that!((budget.requests(), budget.responses()), eq((0, 0)));
}

#[gtest]
fn hundreds_of_slow_callers_leave_a_small_node_within_its_budget() {
    // 400 slow callers of ten customers, and a prompt one of each of them and of ten others.
    let slow = (0..400).map(|index| Caller::new(index % 10, Pace::Slow));
    let fast = (0..20).map(|index| Caller::new(index, Pace::Prompt));
    let mut node = Node::new(MEMORY_MB, slow.chain(fast));
    let report = node.run();
    expect_that!(report.peak, le(BUDGET));
    expect_that!(report.cut_below_share, eq(0));
    expect_that!(report.cut(Pace::Prompt), eq(0));
    expect_that!(report.whole(Pace::Prompt), eq(20));
    // A caller that reads slowly but steadily gets its whole response or is cut; none hangs.
    expect_that!(report.cut(Pace::Slow) + report.whole(Pace::Slow), eq(400));
    println!(
        "peak {} bytes, {} slow callers cut, servers paused for {} ms each",
        report.peak,
        report.cut(Pace::Slow),
        report.paused_ms / 420
    );
}

#[gtest]
fn a_stalled_caller_is_cut_and_its_neighbors_are_not() {
    // The stalled ones belong to the customers of the steady and prompt ones, and to others.
    let stalled = (0..100).map(|index| Caller::new(index % 8, Pace::Stalled));
    let steady = (0..40).map(|index| Caller::new(index % 4, Pace::Steady));
    let prompt = (0..40).map(|index| Caller::new(index % 4, Pace::Prompt));
    let mut node = Node::new(MEMORY_MB, stalled.chain(steady).chain(prompt));
    let report = node.run();
    expect_that!(report.peak, le(BUDGET));
    expect_that!(report.cut(Pace::Stalled), eq(100));
    expect_that!(report.cut(Pace::Steady), eq(0));
    expect_that!(report.cut(Pace::Prompt), eq(0));
    expect_that!(report.whole(Pace::Steady), eq(40));
    expect_that!(report.whole(Pace::Prompt), eq(40));
}

#[gtest]
fn a_slow_caller_does_not_hold_its_server_while_there_is_room() {
    let slow = (0..4).map(|index| Caller::new(index, Pace::Slow));
    let prompt = (0..40).map(|index| Caller::new(index % 8, Pace::Prompt));
    let mut node = Node::new(MEMORY_MB, slow.chain(prompt));
    let report = node.run();
    expect_that!(report.whole(Pace::Slow), eq(4));
    expect_that!(report.whole(Pace::Prompt), eq(40));
    expect_that!(report.paused_ms, eq(0));
}
