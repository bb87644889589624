//! Guards against a flood of requests filling the log or suppressing other events.

use googletest::prelude::*;
use mulberryyoke_event::{Event, rate_limit};

#[gtest]
fn only_request_events_are_limited() {
    rate_limit::set_limit(50);
    let refused = (0..10_000)
        .filter(|_| rate_limit::allows(Event::Refused))
        .count();
    // A new second may begin during the loop.
    expect_that!(refused, all!(ge(50), le(100)));
    let failures = (0..1_000)
        .filter(|_| rate_limit::allows(Event::BackendFailed))
        .count();
    expect_that!(failures, eq(1_000));
}
