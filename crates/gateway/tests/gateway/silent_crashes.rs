//! Requests that crash servers in ways that no connection shows.

use googletest::prelude::*;
use tokio::time::sleep;

use crate::backend::Behavior;
use crate::crash_fleet::{Fleet, MAX_CRASHES, RETRY_PAUSE};
use crate::crashing_server::{CRASH_BODY, Crash, Mode, RestartName, crash_count};

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
