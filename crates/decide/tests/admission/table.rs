//! Table-driven tests.

use googletest::prelude::*;
use mulberryyoke_decide::account::{CHARGE_LEAD, Charge, CostCorrection};
use mulberryyoke_decide::admission::{Admission, Scheduling, Setup};
use mulberryyoke_decide::key::{KeyState, PriorRecord, Response, SavedState, Store};
use mulberryyoke_model::{CustomerId, Incarnation, Interest, KeyId, Kind, PoolId, ServerId};

#[gtest]
fn charge_leads_the_stream_up_to_the_estimate() {
    // Estimate, streamed parts, initial charge, additional charge, refund.
    let cases: [(u64, &[u64], u64, u64, u64); 6] = [
        (100, &[], 100, 0, 100),
        (100, &[40, 60], 100, 0, 0),
        (100, &[90, 20], 100, 10, 0),
        (1, &[5, 5], 1, 9, 0),
        (1_000, &[72], CHARGE_LEAD, 72, CHARGE_LEAD),
        (1_000, &[900, 50], CHARGE_LEAD, 872, 50),
    ];
    for (estimate, parts, first, more, back) in cases {
        let mut charge = Charge::new(estimate);
        expect_that!(charge.charged(), eq(first), "{estimate} {parts:?}");
        let charged: u64 = parts.iter().map(|part| charge.meter(*part)).sum();
        expect_that!(charged, eq(more), "{estimate} {parts:?}");
        expect_that!(charge.settle(), eq(back), "{estimate} {parts:?}");
    }
}

#[gtest]
fn constant_hint_error_is_corrected() {
    for (hint, cost) in [(43, 430), (4_300, 430), (430, 430)] {
        let mut learnt = CostCorrection::default();
        for _ in 0..100 {
            learnt.observe(hint, cost);
        }
        expect_that!(learnt.correct(hint), eq(cost), "{hint}");
    }
}

#[gtest]
fn key_state_after_restart_by_prior_record() {
    let router = Incarnation(7);
    let key = KeyId(1);
    let closed = PriorRecord::Closed(vec![
        (key, SavedState::Completed),
        (KeyId(2), SavedState::Withdrawn),
    ]);
    // Prior record, whether the router has reported, expected key state.
    let cases = [
        (None, false, KeyState::Indeterminate),
        (Some(PriorRecord::Absent), false, KeyState::Unknown),
        (Some(closed), false, KeyState::Completed(None)),
        (Some(PriorRecord::Open(vec![])), false, KeyState::Unknown),
        (
            Some(PriorRecord::Open(vec![router])),
            false,
            KeyState::Indeterminate,
        ),
        (
            Some(PriorRecord::Open(vec![router])),
            true,
            KeyState::Unknown,
        ),
        (
            Some(PriorRecord::Open(vec![router, Incarnation(8)])),
            true,
            KeyState::Indeterminate,
        ),
        (Some(PriorRecord::Unreadable), true, KeyState::Indeterminate),
    ];
    for (prior, reported, state) in cases {
        let mut store = Store::new(1_000, 0);
        if let Some(prior) = &prior {
            store.restore(prior, 1);
        }
        if reported {
            store.add_sent_keys(router, true, &[KeyId(3)], 2);
        }
        expect_that!(store.state(key, 3), eq(&state), "{prior:?} {reported}");
        expect_that!(
            store.state(KeyId(9), 1_002),
            eq(&KeyState::Unknown),
            "{prior:?} {reported}"
        );
    }
}

#[gtest]
fn incomplete_report_keeps_recovery_pending() {
    let mut store = Store::new(1_000, 0);
    store.add_sent_keys(Incarnation(7), false, &[], 1);
    store.restore(&PriorRecord::Open(vec![Incarnation(7)]), 2);
    expect_that!(store.state(KeyId(1), 3), eq(&KeyState::Indeterminate));
    expect_that!(store.saved_states(3), none());
}

#[gtest]
fn key_count_is_bounded() {
    let mut store = Store::new(1_000, 0);
    store.restore(&PriorRecord::Absent, 0);
    let mut count = 0;
    while store.full_until(5).is_none() {
        count += 1;
        store.record(KeyId(count), KeyState::Interrupted, 5);
    }
    expect_that!(count, eq(65_536));
    expect_that!(store.full_until(5), some(eq(1_005)));
    expect_that!(store.full_until(1_005), none());
}

#[gtest]
fn response_memory_is_bounded() {
    let mut store = Store::new(1_000, 0);
    store.restore(&PriorRecord::Absent, 0);
    let response = Response {
        body: vec![0; 60_000],
        ..Response::default()
    };
    for key in 0..1_000 {
        store.record(
            KeyId(key),
            KeyState::Completed(Some(response.clone().into())),
            5,
        );
    }
    let stored = (0..1_000).filter(|key| store.state(KeyId(*key), 6) != KeyState::Completed(None));
    expect_that!(stored.count(), all![gt(200), lt(300)]);
}

#[gtest]
fn immediate_scheduling_grants_every_waiting_request() {
    let mut admission = Admission::new(Setup {
        server: ServerId(1),
        pool: PoolId(1),
        kind: Kind::Service,
        incarnation: Incarnation(1),
        started_at: 0,
        slots: 1,
        scheduling: Scheduling::Immediate,
        retention_ms: 1_000,
    });
    let link = admission.connect();
    let interest = Interest {
        customer: CustomerId(1),
        waiting: [0, 5, 0],
        cost: 1,
        since: 0,
    };
    admission.declare(link, true, &[interest], 1);
    expect_that!(admission.poll_response(link, 1).0.len(), eq(5));
}
