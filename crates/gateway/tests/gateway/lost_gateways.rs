//! Streams that callers resume after all gateways were lost, with all that these kept in memory.
//!
//! Callers resume at gateways that have just started. A stream goes on at its version or not at
//! all, and goes on if servers of its version are there.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::lost_fleet::{GATEWAYS, NEW, OLD, STREAMS};
use crate::version_fleet::{Fleet, PROPAGATION};

/// Time within which gateways write what must outlast them.
const WRITTEN: Duration = Duration::from_millis(1_500);

async fn old_fleet() -> Fleet {
    Fleet::spawn(GATEWAYS, &[(Behavior::SlowStream, OLD); 2]).await
}

#[gtest]
#[tokio::test]
async fn streams_of_a_version_that_left_are_joined_to_the_next_after_all_gateways_were_lost() {
    let mut fleet = old_fleet().await;
    let streams = fleet.begin_on("a", OLD, STREAMS).await;
    fleet.release().await;
    fleet.remove_servers(OLD);
    fleet.kill_all();
    fleet.start_all().await;
    fleet.expect_apart("at-once", &streams).await;
    fleet.expect_begins().await;
    fleet.expect_apart("once-ready", &streams).await;
}

#[gtest]
#[tokio::test]
async fn streams_are_joined_to_a_version_that_replaced_theirs_while_no_gateway_ran() {
    let mut fleet = old_fleet().await;
    let streams = fleet.begin_on("a", OLD, STREAMS).await;
    fleet.kill_all();
    fleet.remove_servers(OLD);
    for _ in 0..2 {
        fleet.add_server(Behavior::SlowStream, NEW).await;
    }
    fleet.start_all().await;
    fleet.expect_apart("at-once", &streams).await;
    fleet.expect_begins().await;
    fleet.expect_apart("once-ready", &streams).await;
}

#[gtest]
#[tokio::test]
async fn streams_that_began_just_before_all_gateways_were_lost_are_joined() {
    let mut fleet = old_fleet().await;
    fleet.release().await;
    let mut streams = fleet.begin_on("a", OLD, STREAMS).await;
    streams.extend(fleet.begin_on("b", NEW, STREAMS).await);
    fleet.kill_all();
    fleet.remove_servers(OLD);
    fleet.start_all().await;
    fleet.expect_apart("at-once", &streams).await;
    fleet.expect_begins().await;
}

#[gtest]
#[tokio::test]
async fn streams_of_two_versions_stop_after_all_gateways_were_lost() {
    let mut fleet = old_fleet().await;
    fleet.release().await;
    let mut streams = fleet.begin_on("a", OLD, STREAMS).await;
    streams.extend(fleet.begin_on("b", NEW, STREAMS).await);
    sleep(WRITTEN).await;
    fleet.kill_all();
    fleet.start_all().await;
    fleet.expect_goes_on("at-once", &streams).await;
    fleet.expect_begins().await;
}

#[gtest]
#[tokio::test]
async fn streams_that_began_before_a_release_stop_after_all_gateways_were_lost() {
    let mut fleet = old_fleet().await;
    let streams = fleet.begin_on("a", OLD, STREAMS).await;
    fleet.release().await;
    sleep(WRITTEN).await;
    fleet.kill_all();
    fleet.start_all().await;
    fleet.expect_goes_on("at-once", &streams).await;
}

#[gtest]
#[tokio::test]
async fn streams_stop_if_a_release_begins_while_no_gateway_runs() {
    let mut fleet = old_fleet().await;
    let streams = fleet.begin_on("a", OLD, STREAMS).await;
    sleep(WRITTEN).await;
    fleet.kill_all();
    for _ in 0..2 {
        fleet.add_server(Behavior::SlowStream, NEW).await;
    }
    fleet.start_all().await;
    fleet.expect_goes_on("at-once", &streams).await;
    fleet.expect_begins().await;
}

#[gtest]
#[tokio::test]
async fn streams_of_a_version_that_comes_back_stop_after_all_gateways_were_lost() {
    let mut fleet = old_fleet().await;
    let streams = fleet.begin_on("a", OLD, STREAMS).await;
    fleet.release().await;
    sleep(WRITTEN).await;
    fleet.remove_servers(OLD);
    fleet.kill_all();
    fleet.start_all().await;
    fleet.wait_ready().await;
    fleet.expect_apart("while-it-is-away", &streams[..2]).await;
    fleet.return_servers(OLD);
    sleep(PROPAGATION).await;
    fleet.expect_goes_on("once-it-is-back", &streams).await;
}

#[gtest]
#[tokio::test]
async fn streams_of_a_version_that_left_are_joined_after_gateways_were_lost_in_series() {
    let mut fleet = old_fleet().await;
    let streams = fleet.begin_on("a", OLD, STREAMS).await;
    fleet.release().await;
    fleet.remove_servers(OLD);
    sleep(PROPAGATION).await;
    fleet.lose_in_series().await;
    fleet.expect_apart("at-once", &streams).await;
    fleet.expect_begins().await;
}

#[gtest]
#[tokio::test]
async fn streams_of_two_versions_stop_after_gateways_were_lost_in_series() {
    let mut fleet = old_fleet().await;
    fleet.release().await;
    let mut streams = fleet.begin_on("a", OLD, STREAMS).await;
    streams.extend(fleet.begin_on("b", NEW, STREAMS).await);
    sleep(WRITTEN).await;
    fleet.lose_in_series().await;
    fleet.expect_goes_on("at-once", &streams).await;
}

#[gtest]
#[tokio::test]
async fn streams_are_joined_at_gateways_that_start_without_the_key_value_service() {
    for is_old_there in [false, true] {
        let mut fleet = old_fleet().await;
        let streams = fleet.begin_on("a", OLD, STREAMS).await;
        fleet.release().await;
        sleep(WRITTEN).await;
        fleet.kill_all();
        if !is_old_there {
            fleet.remove_servers(OLD);
        }
        fleet.service.set_away(true);
        fleet.start_all().await;
        let away = fleet.resume(0, "away", Some(&streams[0])).await;
        expect_that!(away.status, eq(503), "{}", away.body);
        let has_time = away.head.contains("retry-after: ");
        expect_that!(has_time, eq(true), "{} {}", away.head, away.body);
        expect_that!(fleet.version_of("away"), none());
        fleet.service.set_away(false);
        if is_old_there {
            fleet.expect_goes_on("back", &streams).await;
        } else {
            fleet.expect_apart("back", &streams).await;
        }
        fleet.expect_begins().await;
    }
}

#[gtest]
#[tokio::test]
async fn streams_of_a_release_that_was_taken_back_are_joined_after_all_gateways_were_lost() {
    let mut fleet = old_fleet().await;
    let old = fleet.begin_on("a", OLD, STREAMS).await;
    fleet.release().await;
    let new = fleet.begin_on("b", NEW, STREAMS).await;
    sleep(WRITTEN).await;
    fleet.remove_servers(NEW);
    fleet.kill_all();
    fleet.start_all().await;
    fleet.expect_apart("of-the-release", &new).await;
    fleet.expect_goes_on("of-the-other-version", &old).await;
}

#[gtest]
#[tokio::test]
async fn streams_are_joined_after_a_restore_and_the_loss_of_all_gateways() {
    for is_new_there in [false, true] {
        let mut fleet = old_fleet().await;
        fleet.service.back_up();
        fleet.release().await;
        fleet.remove_servers(OLD);
        let streams = fleet.begin_on("a", NEW, STREAMS).await;
        fleet.kill_all();
        fleet.service.restore();
        if is_new_there {
            fleet.return_servers(NEW);
        }
        fleet.start_all().await;
        fleet.expect_apart("at-once", &streams).await;
        fleet.expect_begins().await;
    }
}

#[gtest]
#[tokio::test]
async fn streams_of_the_only_version_stop_after_all_gateways_were_lost() {
    let mut fleet = old_fleet().await;
    let streams = fleet.begin_on("a", OLD, STREAMS).await;
    fleet.kill_all();
    fleet.start_all().await;
    fleet.expect_goes_on("at-once", &streams).await;
    fleet.expect_begins().await;
}
