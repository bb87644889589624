//! What is known of requests that end servers outlives gateways, outages and restores.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::crash_fleet::{Fleet, MAX_CRASHES, RETRY_PAUSE};
use crate::crashing_server::{CRASH_BODY, RestartName, crash_count};
use crate::fleet::Node;

/// Prefix of the keys under which convictions lie.
const CONVICTIONS: &str = "mulberryyoke/quarantine/";

#[gtest]
#[tokio::test]
async fn gateways_that_all_start_anew_know_it_and_an_operator_may_lift_it() {
    let mut fleet = Fleet::spawn(RestartName::New, 2, Behavior::Stream).await;
    for round in 0..3 {
        fleet.ask(round, "/resumable/", CRASH_BODY).await;
        sleep(RETRY_PAUSE).await;
    }
    fleet.nodes.clear();
    fleet.nodes.push(Node::spawn(&fleet.service, "g2").await);
    fleet.nodes[0].wait_ready().await;
    sleep(RETRY_PAUSE).await;
    let before = crash_count(&fleet.servers);
    let refused = fleet.ask(0, "/resumable/", CRASH_BODY).await;
    expect_that!(refused.body, contains_substring("quarantined"));
    expect_that!(
        crash_count(&fleet.servers),
        all!(eq(before), le(MAX_CRASHES))
    );
    let keys = fleet.service.keys(CONVICTIONS);
    expect_that!(keys, len(eq(1)));
    fleet.service.set(&keys[0], None);
    sleep(2 * RETRY_PAUSE).await;
    fleet.ask(0, "/resumable/", CRASH_BODY).await;
    expect_that!(crash_count(&fleet.servers), gt(before));
}

#[gtest]
#[tokio::test]
async fn without_the_key_value_service_gateways_tell_each_other() {
    let fleet = Fleet::spawn(RestartName::New, 3, Behavior::Stream).await;
    for node in &fleet.nodes {
        node.kv.set_failing(true);
    }
    for round in 0..6 {
        fleet.ask(round, "/resumable/", CRASH_BODY).await;
        sleep(RETRY_PAUSE).await;
    }
    expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES));
}

/// Time within which what a copy lacks is written again: a call that waits learns of the copy
/// within 0.9 s, and writes are spread over 1.5 s.
const WRITTEN: Duration = Duration::from_millis(3_500);

#[gtest]
#[tokio::test]
async fn a_conviction_that_a_copy_lacks_is_written_again() {
    let mut fleet = Fleet::spawn(RestartName::Same, 3, Behavior::Stream).await;
    fleet.service.back_up();
    for round in 0..3 {
        fleet.ask(round, "/resumable/", CRASH_BODY).await;
        sleep(RETRY_PAUSE).await;
    }
    let before = fleet.service.keys(CONVICTIONS);
    expect_that!(before, len(eq(1)));
    fleet.service.restore();
    sleep(WRITTEN).await;
    expect_that!(fleet.service.keys(CONVICTIONS), eq(&before));
    let ended_before = crash_count(&fleet.servers);
    fleet.nodes.clear();
    fleet.nodes.push(Node::spawn(&fleet.service, "g7").await);
    fleet.nodes[0].wait_ready().await;
    sleep(RETRY_PAUSE).await;
    let refused = fleet.ask(0, "/resumable/", CRASH_BODY).await;
    expect_that!(refused.body, contains_substring("quarantined"));
    expect_that!(crash_count(&fleet.servers), eq(ended_before));
}
