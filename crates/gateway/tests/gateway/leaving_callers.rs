//! Callers that leave while their stream is resumed.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::fleet::ready;

/// Time limit for a server to be asked, and for it to learn that the caller has left. The server
/// would answer later than that.
const LIMIT: Duration = Duration::from_millis(500);

/// Guards against a server that works on a resumed stream although its caller has left.
#[gtest]
#[tokio::test]
async fn a_resumption_ends_when_its_caller_leaves() {
    let backends = [
        Backend::spawn(Behavior::CutStream).await,
        Backend::spawn(Behavior::CutStream).await,
    ];
    let (_service, node) = ready(&[&backends[0], &backends[1]]).await;
    let mut caller = caller::open(node.callers, &caller::request("/resumable/", "")).await;
    let mut begun = [0; 64];
    let read = caller.read(&mut begun).await.expect("the stream begins");
    expect_that!(read, gt(0));
    for backend in &backends {
        backend.state.set_behavior(Behavior::Hang, "");
    }
    let asked = || {
        let heads = backends.iter().flat_map(|backend| backend.state.heads());
        heads.filter(|head| head.contains("/resumable/")).count()
    };
    let until = Instant::now() + LIMIT;
    while asked() < 2 {
        assert!(Instant::now() < until, "the stream is not resumed");
        sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    let until = Instant::now() + LIMIT;
    let disconnects = || backends.iter().map(|backend| backend.state.disconnects());
    while disconnects().sum::<u32>() == 0 && Instant::now() < until {
        sleep(Duration::from_millis(5)).await;
    }
    expect_that!(disconnects().sum::<u32>(), eq(1));
}
