//! Calls for changes whose connection the key-value service cuts.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::fleet::ready;

/// Time between the cut and the removal of a server.
const REMOVAL_DELAY: Duration = Duration::from_millis(10);

/// Time limit for a removal to take effect: two intervals between calls for changes, and a margin.
const REMOVAL_LIMIT: Duration = Duration::from_millis(800);

/// Time in which requests are sent to the remaining server.
const DURATION: Duration = Duration::from_secs(1);

/// Number of callers' requests that a server received.
fn requests(backend: &Backend) -> usize {
    let heads = backend.state.heads();
    heads.iter().filter(|head| head.contains("/once/")).count()
}

/// Guards against taking a cut call for an outage, in which servers may lapse although they are
/// alive: a server removed just after it got requests for 2 s more.
#[gtest]
#[tokio::test]
async fn a_server_removed_after_a_cut_call_gets_no_more_requests() {
    let removed = Backend::spawn(Behavior::Answer).await;
    let remaining = Backend::spawn(Behavior::Answer).await;
    let (service, node) = ready(&[&removed, &remaining]).await;
    // The outage of the start, if there was any, is over.
    sleep(DURATION).await;
    node.kv.cut();
    sleep(REMOVAL_DELAY).await;
    for pool in ["plain", "model"] {
        service.set(&format!("servers/{pool}-0"), None);
    }
    sleep(REMOVAL_LIMIT).await;
    let before = requests(&removed);
    let until = Instant::now() + DURATION;
    while Instant::now() < until {
        let status = node.send("/once/", "").await.status;
        expect_that!(status, eq(200));
    }
    expect_that!(requests(&removed), eq(before));
}
