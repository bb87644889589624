//! Requests that crash servers in ways that no connection shows.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::crash_fleet::{Fleet, MAX_CRASHES, RETRY_PAUSE};
use crate::crashing_server::{CRASH_BODY, Crash, Mode, RestartName, crash_count};

/// Time in which a registration that lapsed in an outage is removed, with a margin.
const LAPSE_TIME: Duration = Duration::from_millis(3_000);

#[gtest]
#[tokio::test]
async fn a_request_that_silences_servers_silences_at_most_three() {
    for path in ["/resumable/", "/idempotent/"] {
        let mode = Mode {
            crash: Crash::Silent,
            name: RestartName::New,
        };
        let fleet = Fleet::spawn(mode, 3, Behavior::Stream).await;
        for round in 0..6 {
            fleet.send(round, path, CRASH_BODY).await;
            sleep(RETRY_PAUSE).await;
        }
        expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_crash_whose_registration_lapses_in_an_outage_is_evidence() {
    let mode = Mode {
        crash: Crash::QuickRestart,
        name: RestartName::New,
    };
    let fleet = Fleet::spawn(mode, 2, Behavior::Stream).await;
    for round in 0..5 {
        for node in &fleet.nodes {
            node.kv.set_failing(true);
        }
        fleet.send(round, "/resumable/", CRASH_BODY).await;
        sleep(2 * RETRY_PAUSE).await;
        for node in &fleet.nodes {
            node.kv.set_failing(false);
        }
        sleep(LAPSE_TIME).await;
    }
    expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES));
}
