//! What proves that a server lives on.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::time::{Instant, sleep};

use super::fixture::{
    BEFORE_REFUSAL, DELAYS_MS, Fixture, MANY, MAX_END_DELAY, PROMPT, UNTIL_TERMINATION, event_ids,
    expect_whole, ids,
};
use crate::caller;
use crate::instance_server::{Delays, EVENTS, Health};

#[gtest]
#[tokio::test]
async fn a_gateway_that_stops_breaks_off_streams_that_wait_for_proof() {
    let mut fixture = Fixture::spawn().await;
    fixture.server.set_health(Health::Silent);
    fixture.service.set("config", Some("6 timeout=6000 secret"));
    let gateway = fixture.node.gateway.take().expect("a gateway");
    let stop = tokio::spawn(gateway.stop());
    sleep(BEFORE_REFUSAL).await;
    let mut stream = fixture.begin().await;
    sleep(UNTIL_TERMINATION).await;
    fixture.server.resume_streams();
    let ended_at = Instant::now();
    let response = caller::read_to_end(&mut stream).await;
    expect_that!(event_ids(&response), eq(&ids(EVENTS)));
    expect_that!(response.is_complete, eq(false));
    // Without the shutdown it would wait for two seconds.
    expect_that!(ended_at.elapsed(), lt(Duration::from_millis(1_800)));
    stop.await.expect("the gateway stops");
}

// An answer by the instance to something sent after the end is a proof, however late it comes.
#[gtest]
#[tokio::test]
async fn whole_streams_are_complete_however_late_the_proof_comes() {
    let cases = DELAYS_MS.map(async |delay_ms| {
        let fixture = Fixture::spawn().await;
        let delay = Duration::from_millis(delay_ms);
        fixture.server.set_delays(Delays {
            health: delay,
            ..Delays::default()
        });
        let mut stream = fixture.begin().await;
        fixture.server.resume_streams();
        let resumed_at = Instant::now();
        let response = caller::read_to_end(&mut stream).await;
        expect_whole(&response, &format!("{delay_ms} ms"));
        // The end waits for the proof.
        expect_that!(resumed_at.elapsed(), ge(delay), "{delay_ms} ms");
    });
    join_all(cases).await;
}

#[gtest]
#[tokio::test]
async fn only_the_end_of_a_stream_waits_until_its_server_is_proven_to_live_on() {
    let fixture = Fixture::spawn().await;
    let delay = Duration::from_millis(DELAYS_MS[1]);
    fixture.server.set_delays(Delays {
        health: delay,
        ..Delays::default()
    });
    fixture.server.resume_streams();
    let request = caller::request("/stream/", PROMPT).replace("HTTP/1.1", "HTTP/1.0");
    let mut delays = Vec::new();
    for _ in 0..5 {
        let mut stream = caller::open(fixture.node.callers, &request).await;
        let mut text = String::new();
        while !text.ends_with(format!("data: t{EVENTS}\n\n").as_str()) {
            let mut bytes = [0; 1_024];
            let read = stream.read(&mut bytes).await.expect("an event");
            assert_that!(read, gt(0));
            text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        }
        let received_at = Instant::now();
        let read = stream.read_to_end(&mut Vec::new()).await;
        expect_that!(read.ok(), some(eq(0)));
        delays.push(received_at.elapsed());
    }
    // Beside load the caller may get processor time as late as the end.
    expect_that!(delays.iter().max(), some(ge(&(delay / 2))));
    expect_that!(delays.iter().min(), some(lt(&(delay + MAX_END_DELAY))));
}

#[gtest]
#[tokio::test]
async fn a_full_server_is_asked_again_until_it_has_room() {
    let fixture = Fixture::spawn().await;
    fixture.server.set_health(Health::Full);
    let mut stream = fixture.begin().await;
    fixture.server.resume_streams();
    let make_room = async {
        fixture.server.wait_for_checks(2).await;
        fixture.server.set_health(Health::Named);
    };
    let (response, ()) = tokio::join!(caller::read_to_end(&mut stream), make_room);
    expect_whole(&response, "full at first");
}

// A full successor may reject a health check before it compares the names.
#[gtest]
#[tokio::test]
async fn an_answer_that_does_not_name_its_instance_proves_nothing() {
    for health in [Health::Full, Health::Unnamed, Health::Silent] {
        let fixture = Fixture::spawn().await;
        fixture.server.set_health(health);
        let mut stream = fixture.begin().await;
        fixture.server.resume_streams();
        let response = caller::read_to_end(&mut stream).await;
        expect_that!(event_ids(&response), eq(&ids(EVENTS)), "{health:?}");
        expect_that!(response.is_complete, eq(false), "{health:?}");
    }
}

#[gtest]
#[tokio::test]
async fn an_answer_to_a_later_request_is_proof_enough() {
    let fixture = Fixture::spawn().await;
    fixture.server.set_health(Health::Silent);
    let mut stream = fixture.begin().await;
    fixture.server.resume_streams();
    let later = async {
        // The stream has ended, and a health check is under way.
        fixture.server.wait_for_checks(1).await;
        fixture.send_slow().await
    };
    let (response, later) = tokio::join!(caller::read_to_end(&mut stream), later);
    expect_that!(later.status, eq(200));
    expect_whole(&response, "later request");
}

#[gtest]
#[tokio::test]
async fn a_server_that_exits_after_its_last_answer_has_sent_whole_streams() {
    let fixture = Fixture::spawn().await;
    let mut stream = fixture.begin().await;
    fixture.server.resume_streams();
    let exit = async {
        fixture.server.wait_for_checks(1).await;
        sleep(Duration::from_millis(5)).await;
        fixture.server.kill().await;
    };
    let (response, ()) = tokio::join!(caller::read_to_end(&mut stream), exit);
    expect_whole(&response, "exit");
}

#[gtest]
#[tokio::test]
async fn one_health_check_serves_all_streams_that_ended_before_it() {
    let fixture = Fixture::spawn().await;
    fixture.server.set_delays(Delays {
        health: Duration::from_millis(DELAYS_MS[1]),
        ..Delays::default()
    });
    let request = caller::request("/stream/", PROMPT);
    let streams = (0..MANY).map(|_| caller::open(fixture.node.callers, &request));
    let mut streams = join_all(streams).await;
    fixture.server.wait_for_streams(MANY).await;
    fixture.server.resume_streams();
    for response in join_all(streams.iter_mut().map(caller::read_to_end)).await {
        expect_whole(&response, "many");
    }
    // The first check may have been sent before the other streams ended.
    expect_that!(fixture.server.checks(), all!(ge(1), le(2)));
}
