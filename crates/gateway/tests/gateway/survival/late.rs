//! Signs of a killed server that arrive late.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

use super::fixture::{DELAYS_MS, Fixture, PROMPT, expect_broken};
use crate::caller;
use crate::instance_server::{Delays, LATE};

// A connection whose end was lost counted as a sign of life.
#[gtest]
#[tokio::test]
async fn an_idle_connection_whose_end_is_delayed_proves_nothing() {
    let cases = DELAYS_MS.map(async |delay_ms| {
        let fixture = Fixture::spawn().await;
        let mut stream = fixture.begin().await;
        expect_that!(fixture.send_short().await.status, eq(200));
        fixture.server.set_delays(Delays {
            ends: Duration::from_millis(delay_ms),
            ..Delays::default()
        });
        fixture.server.kill().await;
        let response = caller::read_to_end(&mut stream).await;
        expect_broken(&response, &format!("{delay_ms} ms"));
    });
    join_all(cases).await;
}

// Bytes that the server had sent before it was killed counted as a sign of life.
#[gtest]
#[tokio::test]
async fn an_answer_to_an_earlier_request_that_arrives_late_proves_nothing() {
    let cases = [20, 60, 80, 200, 400].map(async |delay_ms| {
        let fixture = Fixture::spawn().await;
        let mut stream = fixture.begin().await;
        fixture.server.set_delays(Delays {
            answers: Duration::from_millis(delay_ms),
            ..Delays::default()
        });
        let kill = async {
            // The server has answered by then, but its answer is on the way.
            fixture.server.wait_for_requests(2).await;
            sleep(Duration::from_millis(5)).await;
            fixture.server.kill().await;
        };
        let (response, _, ()) =
            tokio::join!(caller::read_to_end(&mut stream), fixture.send_short(), kill);
        expect_broken(&response, &format!("{delay_ms} ms"));
    });
    join_all(cases).await;
}

// Events of another stream that the server had sent before it was killed counted as a sign of life.
#[gtest]
#[tokio::test]
async fn events_of_another_stream_that_arrive_late_prove_nothing() {
    let cases = [60, 80, 200, 400, 1_000].map(async |delay_ms| {
        let fixture = Fixture::spawn().await;
        fixture.server.set_delays(Delays {
            events: Duration::from_millis(delay_ms),
            ..Delays::default()
        });
        let mut stream = fixture.begin().await;
        let request = caller::request("/stream/", &(PROMPT.to_owned() + LATE));
        let _late = caller::open(fixture.node.callers, &request).await;
        fixture.server.wait_for_streams(2).await;
        fixture.server.kill().await;
        let response = caller::read_to_end(&mut stream).await;
        expect_broken(&response, &format!("{delay_ms} ms"));
    });
    join_all(cases).await;
}
