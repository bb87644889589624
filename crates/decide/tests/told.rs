//! What is worth telling a sidecar.

use googletest::prelude::*;
use mulberryyoke_decide::queue::{MOST_TOLD, Told};
use mulberryyoke_model::{CustomerId, Interest};

const CUSTOMER: CustomerId = CustomerId(7);

fn interest(waiting: [u16; 3]) -> Vec<Interest> {
    vec![Interest {
        customer: CUSTOMER,
        waiting,
        cost: 100,
        since: 1,
    }]
}

/// A sidecar that was told `waiting`.
fn told(waiting: [u16; 3]) -> Told {
    let mut told = Told::default();
    told.note(interest(waiting));
    told.take();
    told
}

#[gtest]
fn small_changes_are_not_told() {
    let rows = [
        ([0, 0, 0], [0, 1, 0], true, true),
        ([0, 4, 0], [0, 3, 0], false, false),
        ([0, 4, 0], [0, 8, 0], false, false),
        ([0, 4, 0], [0, 9, 0], true, false),
        ([0, 4, 0], [0, 1, 0], true, false),
        ([0, 4, 0], [0, 0, 0], true, false),
        ([0, 4, 0], [1, 4, 0], true, true),
        ([1, 4, 0], [0, 4, 0], true, false),
        ([0, 40, 0], [0, 400, 0], false, false),
    ];
    for (before, now, has_news, is_urgent) in rows {
        let mut told = told(before);
        told.note(interest(now));
        expect_that!(told.has_news(), eq(has_news), "{before:?} {now:?}");
        expect_that!(told.is_urgent(), eq(is_urgent), "{before:?} {now:?}");
    }
}

#[gtest]
fn a_sidecar_that_has_used_up_what_it_knows_is_told_at_once() {
    let mut told = told([0, 2, 0]);
    told.granted(CUSTOMER);
    told.note(interest([0, 9, 0]));
    expect_that!(told.is_urgent(), eq(false));
    told.granted(CUSTOMER);
    told.note(interest([0, 8, 0]));
    expect_that!(told.is_urgent(), eq(true));
    expect_that!(told.take(), elements_are![eq(&interest([0, 8, 0])[0])]);
    expect_that!(told.has_news(), eq(false));
}

#[gtest]
fn a_slot_reserved_for_nothing_is_corrected_at_once() {
    let mut told = told([0, 4, 0]);
    told.note(interest([0, 0, 0]));
    expect_that!(told.is_urgent(), eq(false));
    told.granted(CUSTOMER);
    told.declined();
    expect_that!(told.is_urgent(), eq(true));
    told.take();
    expect_that!(told.is_urgent(), eq(false));
}

#[gtest]
fn a_change_taken_back_is_not_told() {
    let mut told = told([0, 4, 0]);
    told.note(interest([0, 0, 0]));
    told.note(interest([0, 5, 0]));
    expect_that!(told.has_news(), eq(false));
}

#[gtest]
fn counts_are_capped() {
    let mut told = Told::default();
    told.note(interest([0, u16::MAX, 0]));
    let news = told.take();
    expect_that!(news[0].waiting, eq([0, MOST_TOLD, 0]));
}
