//! A server's word that it leaves, told among routers.

use googletest::prelude::*;
use mulberryyoke_decide::leaving::{Announcement, RELAYED_TTL_MS};

#[gtest]
fn a_word_counts_where_it_was_said_for_good_and_elsewhere_for_a_time() {
    let mut own = Announcement::default();
    expect_that!(own.record_direct(5_000), eq(true));
    expect_that!(own.record_direct(6_000), eq(false));
    let mut other = Announcement::default();
    expect_that!(other.record_relayed(300, 5_400), eq(true));
    expect_that!(other.record_relayed(400, 5_400), eq(false));
    expect_that!((own.is_direct(), other.is_direct()), eq((true, false)));
    expect_that!(other.avoid_until(), some(eq(5_000 + RELAYED_TTL_MS)));
    expect_that!(other.age_ms(5_500), some(eq(500)));
    expect_that!(other.age_ms(5_000 + RELAYED_TTL_MS), none());
    expect_that!(own.age_ms(5_000 + RELAYED_TTL_MS), none());
    expect_that!(own.is_direct(), eq(true));
}

#[gtest]
fn what_is_too_old_is_not_taken_in() {
    let mut word = Announcement::default();
    expect_that!(word.record_relayed(RELAYED_TTL_MS, 100_000), eq(false));
    expect_that!(word, eq(Announcement::default()));
}

/// Time between two messages, and the time that each takes, in milliseconds.
const INTERVAL_MS: usize = 100;
const DELAY_MS: u64 = 60;

#[gtest]
fn a_word_told_to_and_fro_grows_old_all_the_same() {
    let mut words = [Announcement::default(); 3];
    words[0].record_direct(0);
    for now in (0..2 * RELAYED_TTL_MS).step_by(INTERVAL_MS) {
        let told = words.map(|word| word.age_ms(now));
        for (from, age_ms) in told.into_iter().enumerate() {
            for (to, word) in words.iter_mut().enumerate() {
                if let Some(age_ms) = age_ms.filter(|_| from != to) {
                    word.record_relayed(age_ms, now + DELAY_MS);
                }
            }
        }
    }
    for word in words {
        expect_that!(word.age_ms(RELAYED_TTL_MS + 2 * DELAY_MS), none());
    }
}
