//! Convictions of prompt parts: what callers are told, and what survives restarts of gateways.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::ending::Ending;
use crate::part_server::BAD_PART;
use crate::prompt_fleet::Fleet;

/// Prefix of the keys of convictions.
const CONVICTIONS: &str = "mulberryyoke/quarantine/part/";

/// Route of streams that a gateway resumes.
const RESUMABLE: &str = "/resumable/";

/// Pause between sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(50);

/// Pause between requests with the bad part, in which a server comes back.
const BAD_PAUSE: Duration = Duration::from_millis(300);

/// Time for a conviction to be written.
const WRITING: Duration = Duration::from_millis(300);

/// Time from a conviction to the first trial, and for the trial.
const FIRST_TRIAL: Duration = Duration::from_millis(3_500);

/// Maximum requests until the part is convicted.
const MAX_REQUESTS: u32 = 12;

/// Sends requests with the bad part until it is convicted.
async fn convict(fleet: &Fleet) {
    for _ in 0..MAX_REQUESTS {
        let response = fleet.send_parts(RESUMABLE, &[1, BAD_PART]).await;
        if response.status == 503 {
            expect_that!(response.body, contains_substring("part_quarantined"));
            expect_that!(response.head, not(contains_substring("retry-after")));
            return;
        }
        sleep(BAD_PAUSE).await;
    }
    panic!("the part is not convicted");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn convictions_of_parts_survive_a_restart_of_all_gateways_and_can_be_lifted() {
    let fleet = Fleet::spawn(2, 8, Ending::HeadWithChunks).await;
    let sound = tokio::spawn(Arc::clone(&fleet).send_sound(RESUMABLE, SOUND_PAUSE));
    sleep(Duration::from_secs(1)).await;
    convict(&fleet).await;
    sleep(WRITING).await;
    let keys = fleet.service.keys(CONVICTIONS);
    expect_that!(keys, len(eq(1)));
    sound.abort();
    fleet.kill_gateway().await;
    fleet.kill_gateway().await;
    let restarted_at = Instant::now();
    fleet.start_gateway().await;
    sleep(WRITING).await;
    for _ in 0..3 {
        let response = fleet.send_parts(RESUMABLE, &[2, BAD_PART]).await;
        expect_that!(response.body, contains_substring("part_quarantined"));
        let response = fleet.send_parts(RESUMABLE, &[1, 2]).await;
        expect_that!(response.status, eq(200));
    }
    expect_that!(fleet.servers.reached_after(restarted_at), eq(0));
    fleet.service.set(&keys[0], None);
    sleep(WRITING).await;
    fleet.send_parts(RESUMABLE, &[2, BAD_PART]).await;
    expect_that!(fleet.servers.reached_after(restarted_at), ge(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_copy_is_tried_through_three_gateways() {
    let fleet = Fleet::spawn(3, 12, Ending::Event).await;
    let sound = tokio::spawn(Arc::clone(&fleet).send_sound(RESUMABLE, SOUND_PAUSE));
    sleep(Duration::from_secs(1)).await;
    convict(&fleet).await;
    sleep(WRITING).await;
    let convicted_at = Instant::now();
    while convicted_at.elapsed() < FIRST_TRIAL {
        let fleet = Arc::clone(&fleet);
        tokio::spawn(async move { fleet.send_parts(RESUMABLE, &[2, BAD_PART]).await });
        sleep(SOUND_PAUSE).await;
    }
    sound.abort();
    expect_that!(fleet.servers.reached_after(convicted_at), eq(1));
}
