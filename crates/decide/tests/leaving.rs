//! Leave announcements of servers, relayed between routers.

use googletest::prelude::*;
use mulberryyoke_decide::leaving::{Announcement, RELAYED_TTL_MS};

#[gtest]
fn a_direct_announcement_is_permanent_and_a_relayed_one_expires() {
    let mut direct = Announcement::default();
    expect_that!(direct.record_direct(5_000), eq(true));
    expect_that!(direct.record_direct(6_000), eq(false));
    let mut relayed = Announcement::default();
    expect_that!(relayed.record_relayed(300, 5_400), eq(true));
    expect_that!(relayed.record_relayed(400, 5_400), eq(false));
    expect_that!((direct.is_direct(), relayed.is_direct()), eq((true, false)));
    expect_that!(relayed.avoid_until(), some(eq(5_000 + RELAYED_TTL_MS)));
    expect_that!(relayed.age_ms(5_500), some(eq(500)));
    expect_that!(relayed.age_ms(5_000 + RELAYED_TTL_MS), none());
    expect_that!(direct.age_ms(5_000 + RELAYED_TTL_MS), none());
    expect_that!(direct.is_direct(), eq(true));
}

#[gtest]
fn an_expired_announcement_is_ignored() {
    let mut announcement = Announcement::default();
    expect_that!(
        announcement.record_relayed(RELAYED_TTL_MS, 100_000),
        eq(false)
    );
    expect_that!(announcement, eq(Announcement::default()));
}

/// Message interval and delay, in milliseconds.
const INTERVAL_MS: usize = 100;
const DELAY_MS: u64 = 60;

#[gtest]
fn an_announcement_relayed_back_and_forth_expires() {
    let mut routers = [Announcement::default(); 3];
    routers[0].record_direct(0);
    for now in (0..2 * RELAYED_TTL_MS).step_by(INTERVAL_MS) {
        let messages = routers.map(|announcement| announcement.age_ms(now));
        for (from, age_ms) in messages.into_iter().enumerate() {
            for (to, announcement) in routers.iter_mut().enumerate() {
                if let Some(age_ms) = age_ms.filter(|_| from != to) {
                    announcement.record_relayed(age_ms, now + DELAY_MS);
                }
            }
        }
    }
    for announcement in routers {
        expect_that!(announcement.age_ms(RELAYED_TTL_MS + 2 * DELAY_MS), none());
    }
}
