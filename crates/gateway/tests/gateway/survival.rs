//! Streams that end with their connection are whole only if their server's instance lives on.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::backend::{Backend, Behavior};
use crate::caller::{self, Response};
use crate::feed::Service;
use crate::fleet::{Node, ready_at};
use crate::instance_server::{
    Delays, EVENTS, HALT_AFTER, Health, InstanceServer, LARGE, LARGE_BYTES, LATE, SHORT, SLOW,
};

const PROMPT: &str = "x-tokens: 100\r\n";

/// Delays of packets, in milliseconds, as of those that are lost and sent again.
const DELAYS_MS: [u64; 4] = [50, 200, 400, 1_000];

/// Times from the end of an instance to the start of its successor, in milliseconds.
const RESTARTS_MS: [u64; 5] = [0, 5, 30, 90, 130];

/// Maximum time between the proof and the end of a stream.
const MAX_END_DELAY: Duration = Duration::from_millis(300);

/// Time from the begin of a shutdown to a moment shortly before requests are refused.
const BEFORE_REFUSAL: Duration = Duration::from_millis(2_200);

/// Time from then to a moment shortly before the end of the grace period.
const UNTIL_TERMINATION: Duration = Duration::from_millis(2_400);

/// Time within which a change is applied.
const PROPAGATION: Duration = Duration::from_millis(900);

/// Number of streams that end at the same time.
const MANY: u32 = 6;

/// Returns the IDs of the received events.
fn event_ids(response: &Response) -> Vec<u64> {
    let lines = response.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

fn ids(last: u64) -> Vec<u64> {
    (1..=last).collect()
}

/// A gateway with a server whose streams halt.
struct Fixture {
    server: InstanceServer,
    node: Node,
    service: Arc<Service>,
}

impl Fixture {
    async fn spawn() -> Self {
        let server = InstanceServer::spawn().await;
        let (service, node) = ready_at(&[server.address], None).await;
        Self {
            server,
            node,
            service,
        }
    }

    /// Begins the first stream, and waits until it halts.
    async fn begin(&self) -> TcpStream {
        let request = caller::request("/stream/", PROMPT);
        let stream = caller::open(self.node.callers, &request).await;
        self.server.wait_for_streams(1).await;
        stream
    }

    /// Sends a request that gets a short answer and leaves an idle connection to the server.
    async fn send_short(&self) -> Response {
        self.node
            .send("/stream/", &(PROMPT.to_owned() + SHORT))
            .await
    }

    /// As [`Self::send_short`], for a request that the server answers after a time.
    async fn send_slow(&self) -> Response {
        let lines = PROMPT.to_owned() + SHORT + SLOW;
        self.node.send("/stream/", &lines).await
    }
}

fn expect_broken(response: &Response, name: &str) {
    expect_that!(event_ids(response), eq(&ids(HALT_AFTER)), "{name}");
    expect_that!(response.is_complete, eq(false), "{name}");
}

fn expect_whole(response: &Response, name: &str) {
    expect_that!(event_ids(response), eq(&ids(EVENTS)), "{name}");
    expect_that!(response.is_complete, eq(true), "{name}");
}

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
