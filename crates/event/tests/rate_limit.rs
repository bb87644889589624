//! A flood of requests does not flood the log; what matters more is kept.

use googletest::prelude::*;
use mulberryyoke_event::{Event, rate_limit};

#[gtest]
fn lines_of_requests_are_bounded_and_others_are_not() {
    rate_limit::set_limit(50);
    let flood = (0..10_000)
        .filter(|_| rate_limit::allows(Event::Refused))
        .count();
    // A second may begin in the midst of it.
    expect_that!(flood, all!(ge(50), le(100)));
    let faults = (0..1_000)
        .filter(|_| rate_limit::allows(Event::BackendFailed))
        .count();
    expect_that!(faults, eq(1_000));
}
