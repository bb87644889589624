//! Requests that crash servers in ways that no connection shows.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::caller;
use crate::crash_fleet::{Fleet, MAX_CRASHES, PROMPT, RETRY_PAUSE};
use crate::crashing_server::{CRASH_BODY, Crash, Mode, RestartName, crash_count};

const SILENT: Mode = Mode {
    crash: Crash::Silent,
    name: RestartName::New,
};

/// Time after which a caller closes its connection.
const CALLER_PATIENCE: Duration = Duration::from_millis(200);

/// Time in which a registration that lapsed in an outage is removed, with a margin.
const LAPSE_TIME: Duration = Duration::from_secs(3);

#[gtest]
#[tokio::test]
async fn a_request_that_silences_servers_silences_at_most_three() {
    for path in ["/resumable/", "/idempotent/"] {
        let fleet = Fleet::spawn(SILENT, 3, Behavior::Stream).await;
        for round in 0..6 {
            fleet.send(round, path, CRASH_BODY).await;
            sleep(RETRY_PAUSE).await;
        }
        expect_that!(crash_count(&fleet.servers), le(MAX_CRASHES), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_server_that_falls_silent_after_the_caller_left_is_evidence() {
    let cases = ["/resumable/", "/once/"].map(async |path| {
        let fleet = Fleet::spawn(SILENT, 2, Behavior::Stream).await;
        let request = caller::request_with_body(path, PROMPT, CRASH_BODY);
        for round in 0..14 {
            let node = &fleet.nodes[round % 2];
            let connection = caller::open(node.callers, &request).await;
            sleep(CALLER_PATIENCE).await;
            drop(connection);
            sleep(2 * RETRY_PAUSE).await;
        }
        let crashes = crash_count(&fleet.servers);
        expect_that!(crashes, le(MAX_CRASHES), "{path}");
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn servers_that_are_slow_but_accept_connections_are_no_evidence() {
    let fleet = Fleet::spawn(RestartName::New, 2, Behavior::Hang).await;
    for round in 0..5 {
        let response = fleet.send(round, "/once/", "good").await;
        expect_that!(response.status, eq(504));
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
