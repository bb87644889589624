//! Streams of a killed server, whose address may answer.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use super::fixture::{Fixture, PROMPT, PROPAGATION, RESTARTS_MS, expect_broken, expect_whole};
use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::fleet::ready_at;
use crate::instance_server::{Health, InstanceServer};

// The next process of a killed server listened at once, and was taken for the server.
#[gtest]
#[tokio::test]
async fn streams_of_a_killed_server_are_broken_off_although_its_successor_listens() {
    let cases = RESTARTS_MS.map(async |restart_ms| {
        let fixture = Fixture::spawn().await;
        let mut stream = fixture.begin().await;
        fixture.server.kill().await;
        sleep(Duration::from_millis(restart_ms)).await;
        fixture.server.start_successor().await;
        let response = caller::read_to_end(&mut stream).await;
        expect_broken(&response, &format!("{restart_ms} ms"));
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn streams_of_a_killed_server_are_resumed_although_its_successor_listens() {
    for health in [Health::Named, Health::Full] {
        let server = InstanceServer::spawn().await;
        server.set_health(health);
        let sound = Backend::spawn(Behavior::Stream).await;
        let (_service, node) = ready_at(&[server.address, sound.address], None).await;
        let send = async {
            loop {
                let response = node.send("/resumable/", PROMPT).await;
                expect_whole(&response, &format!("{health:?}"));
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
}

// A process that starts again under its name answered for the one before.
#[gtest]
#[tokio::test]
async fn an_instance_of_the_same_name_is_told_by_its_start() {
    for is_killed in [true, false] {
        let fixture = Fixture::spawn().await;
        fixture.server.set_health(Health::Started);
        for pool in ["plain", "model"] {
            let value = format!("{pool} {} ready 0", fixture.server.address);
            fixture
                .service
                .set(&format!("servers/{pool}-0"), Some(&value));
        }
        sleep(PROPAGATION).await;
        let mut stream = fixture.begin().await;
        if is_killed {
            fixture.server.kill().await;
            fixture.server.start_successor().await;
        } else {
            fixture.server.resume_streams();
        }
        let response = caller::read_to_end(&mut stream).await;
        expect_that!(response.is_complete, eq(!is_killed));
    }
}

#[gtest]
#[tokio::test]
async fn streams_are_whole_although_their_service_is_removed_meanwhile() {
    let fixture = Fixture::spawn().await;
    let mut stream = fixture.begin().await;
    fixture
        .service
        .set("config", Some("6 pools=none timeout=6000 secret"));
    sleep(PROPAGATION).await;
    fixture.server.resume_streams();
    let response = caller::read_to_end(&mut stream).await;
    expect_whole(&response, "removed");
}

// Whatever accepts connections at the address of a killed server was taken for it.
#[gtest]
#[tokio::test]
async fn streams_of_a_killed_server_are_broken_off_although_something_accepts_connections() {
    let fixture = Fixture::spawn().await;
    let mut stream = fixture.begin().await;
    fixture.server.kill_behind_front();
    let response = caller::read_to_end(&mut stream).await;
    expect_broken(&response, "something in front");
}

#[gtest]
#[tokio::test]
async fn callers_of_http_1_0_notice_that_the_stream_of_a_killed_server_is_broken_off() {
    let fixture = Fixture::spawn().await;
    let request = caller::request("/stream/", PROMPT).replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = caller::open(fixture.node.callers, &request).await;
    fixture.server.wait_for_streams(1).await;
    fixture.server.kill().await;
    fixture.server.start_successor().await;
    let read = stream.read_to_end(&mut Vec::new()).await;
    expect_that!(read.is_ok(), eq(false));
}
