//! A server's word that it leaves, told among routers.

use googletest::prelude::*;
use mulberryyoke_decide::leaving::{TOLD_MS, Word};

#[gtest]
fn a_word_counts_where_it_was_said_for_good_and_elsewhere_for_a_time() {
    let mut own = Word::default();
    expect_that!(own.say(5_000), eq(true));
    expect_that!(own.say(6_000), eq(false));
    let mut other = Word::default();
    expect_that!(other.hear(300, 5_400), eq(true));
    expect_that!(other.hear(400, 5_400), eq(false));
    expect_that!((own.is_own(), other.is_own()), eq((true, false)));
    expect_that!(other.until(), some(eq(5_000 + TOLD_MS)));
    expect_that!(other.age_ms(5_500), some(eq(500)));
    expect_that!(other.age_ms(5_000 + TOLD_MS), none());
    expect_that!(own.age_ms(5_000 + TOLD_MS), none());
    expect_that!(own.is_own(), eq(true));
}

#[gtest]
fn what_is_too_old_is_not_taken_in() {
    let mut word = Word::default();
    expect_that!(word.hear(TOLD_MS, 100_000), eq(false));
    expect_that!(word, eq(Word::default()));
}

/// Time between two messages, and the time that each takes, in milliseconds.
const INTERVAL_MS: usize = 100;
const DELAY_MS: u64 = 60;

#[gtest]
fn a_word_told_to_and_fro_grows_old_all_the_same() {
    let mut words = [Word::default(); 3];
    words[0].say(0);
    for now in (0..2 * TOLD_MS).step_by(INTERVAL_MS) {
        let told = words.map(|word| word.age_ms(now));
        for (from, age_ms) in told.into_iter().enumerate() {
            for (to, word) in words.iter_mut().enumerate() {
                if let Some(age_ms) = age_ms.filter(|_| from != to) {
                    word.hear(age_ms, now + DELAY_MS);
                }
            }
        }
    }
    for word in words {
        expect_that!(word.age_ms(TOLD_MS + 2 * DELAY_MS), none());
    }
}
