//! Plain answers of a killed server.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

use super::fixture::{Fixture, PROMPT, RESTARTS_MS, event_ids, ids};
use crate::backend::{Backend, Behavior};
use crate::fleet::ready_at;
use crate::instance_server::{EVENTS, InstanceServer, LARGE, LARGE_BYTES};

// An answer that was broken off by a kill was given a length of its own and sent as whole.
#[gtest]
#[tokio::test]
async fn plain_answers_of_a_killed_server_are_failures_although_its_successor_listens() {
    let cases = RESTARTS_MS.map(async |restart_ms| {
        let fixture = Fixture::spawn().await;
        let replace = async {
            fixture.server.wait_for_streams(1).await;
            fixture.server.kill().await;
            sleep(Duration::from_millis(restart_ms)).await;
            fixture.server.start_successor().await;
        };
        let (response, ()) = tokio::join!(fixture.node.send("/once/", PROMPT), replace);
        expect_that!(response.status, eq(502), "{restart_ms} ms");
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn large_plain_answers_of_a_killed_server_are_broken_off() {
    let fixture = Fixture::spawn().await;
    let replace = async {
        fixture.server.wait_for_streams(1).await;
        fixture.server.kill().await;
        fixture.server.start_successor().await;
    };
    let lines = PROMPT.to_owned() + LARGE;
    let (response, ()) = tokio::join!(fixture.node.send("/once/", &lines), replace);
    expect_that!(response.status, eq(200));
    expect_that!(response.body.len(), ge(LARGE_BYTES));
    expect_that!(response.is_complete, eq(false));
}

#[gtest]
#[tokio::test]
async fn plain_answers_of_a_killed_server_are_repeated_where_they_may_be() {
    let server = InstanceServer::spawn().await;
    let sound = Backend::spawn(Behavior::Answer).await;
    let (_service, node) = ready_at(&[server.address, sound.address], None).await;
    let send = async {
        loop {
            let response = node.send("/idempotent/", PROMPT).await;
            expect_that!(response.status, eq(200));
            expect_that!(response.body, eq("done"));
            if server.requests() > 0 {
                return;
            }
        }
    };
    let replace = async {
        server.wait_for_streams(1).await;
        server.kill().await;
        server.start_successor().await;
    };
    tokio::join!(send, replace);
}

#[gtest]
#[tokio::test]
async fn plain_answers_are_whole_if_their_server_lives_on() {
    for (lines, min_bytes) in [("", 0), (LARGE, LARGE_BYTES)] {
        let fixture = Fixture::spawn().await;
        fixture.server.resume_streams();
        let lines = PROMPT.to_owned() + lines;
        let response = fixture.node.send("/once/", &lines).await;
        expect_that!(response.status, eq(200));
        expect_that!(response.body.len(), ge(min_bytes));
        expect_that!(event_ids(&response), eq(&ids(EVENTS)));
        expect_that!(response.is_complete, eq(true));
    }
}
