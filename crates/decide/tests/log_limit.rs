//! Limit on log lines.

use googletest::prelude::*;
use mulberryyoke_decide::log_limit::{INTERVAL_MS, LogLimit, MAX_LINES};

#[gtest]
fn lines_beyond_the_limit_are_left_out_and_counted() {
    let mut limit = LogLimit::default();
    for line in 0..MAX_LINES {
        expect_that!(limit.try_line(1_000), some(eq(0)), "{line}");
    }
    for _ in 0..10_000 {
        expect_that!(limit.try_line(1_000 + INTERVAL_MS - 1), none());
    }
    expect_that!(limit.try_line(1_000 + INTERVAL_MS), some(eq(10_000)));
    expect_that!(limit.try_line(1_000 + INTERVAL_MS), some(eq(0)));
}
