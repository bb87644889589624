//! Small decisions in tables.

use googletest::prelude::*;
use mulberryyoke_decide::account::{CHARGE_LEAD, Charge, CostCorrection};
use mulberryyoke_decide::admission::{Admission, Setup, Sharing};
use mulberryyoke_decide::key::{Answer, Mark, Memory, Past, Seen};
use mulberryyoke_model::{CustomerId, Incarnation, Interest, KeyId, Kind, PoolId, ServerId};

#[gtest]
fn charge_keeps_ahead_of_the_stream_up_to_the_estimate() {
    // Estimate, streamed parts, charged at the start, on top in all, given back at
    // the end.
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
fn hints_that_are_always_off_are_corrected() {
    for (hint, cost) in [(43, 430), (4_300, 430), (430, 430)] {
        let mut learnt = CostCorrection::default();
        for _ in 0..100 {
            learnt.observe(hint, cost);
        }
        expect_that!(learnt.correct(hint), eq(cost), "{hint}");
    }
}

#[gtest]
fn what_is_known_of_a_key_by_what_the_earlier_life_left() {
    let router = Incarnation(7);
    let key = KeyId(1);
    let closed = Past::Closed(vec![(key, Mark::Ran), (KeyId(2), Mark::Barred)]);
    // What was left, whether the router has told, what is known of the key.
    let cases = [
        (None, false, Seen::Doubtful),
        (Some(Past::None), false, Seen::Unknown),
        (Some(closed), false, Seen::Ran(None)),
        (Some(Past::Open(vec![])), false, Seen::Unknown),
        (Some(Past::Open(vec![router])), false, Seen::Doubtful),
        (Some(Past::Open(vec![router])), true, Seen::Unknown),
        (
            Some(Past::Open(vec![router, Incarnation(8)])),
            true,
            Seen::Doubtful,
        ),
        (Some(Past::Unreadable), true, Seen::Doubtful),
    ];
    for (past, told, seen) in cases {
        let mut memory = Memory::open(1_000, 0);
        if let Some(past) = &past {
            memory.read(past, 1);
        }
        if told {
            memory.recall(router, true, &[KeyId(3)], 2);
        }
        expect_that!(memory.seen(key, 3), eq(&seen), "{past:?} {told}");
        expect_that!(
            memory.seen(KeyId(9), 1_002),
            eq(&Seen::Unknown),
            "{past:?} {told}"
        );
    }
}

#[gtest]
fn router_that_cannot_tell_all_leaves_doubt() {
    let mut memory = Memory::open(1_000, 0);
    memory.recall(Incarnation(7), false, &[], 1);
    memory.read(&Past::Open(vec![Incarnation(7)]), 2);
    expect_that!(memory.seen(KeyId(1), 3), eq(&Seen::Doubtful));
    expect_that!(memory.marks(3), none());
}

#[gtest]
fn memory_of_keys_is_bounded() {
    let mut memory = Memory::open(1_000, 0);
    memory.read(&Past::None, 0);
    let mut count = 0;
    while memory.room_at(5).is_none() {
        count += 1;
        memory.note(KeyId(count), Seen::Cut, 5);
    }
    expect_that!(count, eq(65_536));
    expect_that!(memory.room_at(5), some(eq(1_005)));
    expect_that!(memory.room_at(1_005), none());
}

#[gtest]
fn memory_of_answers_is_bounded() {
    let mut memory = Memory::open(1_000, 0);
    memory.read(&Past::None, 0);
    let answer = Answer {
        body: vec![0; 60_000],
        ..Answer::default()
    };
    for key in 0..1_000 {
        memory.note(KeyId(key), Seen::Ran(Some(answer.clone().into())), 5);
    }
    let kept = (0..1_000).filter(|key| memory.seen(KeyId(*key), 6) != Seen::Ran(None));
    expect_that!(kept.count(), all![gt(200), lt(300)]);
}

#[gtest]
fn without_order_all_that_waits_starts_at_once() {
    let mut admission = Admission::open(Setup {
        server: ServerId(1),
        pool: PoolId(1),
        kind: Kind::Service,
        incarnation: Incarnation(1),
        started_at: 0,
        slots: 1,
        sharing: Sharing::Open,
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
    expect_that!(admission.answer(link, 1).0.len(), eq(5));
}
