//! Prompts that wait in the gateway until a server has room.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::backend::{Backend, Behavior};
use crate::caller;
use crate::feed::Service;
use crate::fleet::{Node, ready, register};
use crate::protocol::{LONG_OBJECTIVE_MS, PATIENT_PREFIX, RESUMABLE_PREFIX, WAITING_PREFIX};
use crate::version_fleet::{PROPAGATION, read_until};

/// Number of running streams at which a prompt of [`TOKENS`] misses the objective by a little: the
/// server has 8 slots, and each request above them adds 250 ms.
const STREAMS: usize = 21;

/// Tokens of a prompt with a prefill time of 200 ms.
const TOKENS: u32 = 12_000;

/// Longest wait in the gateway.
const LONGEST: Duration = Duration::from_millis(LONG_OBJECTIVE_MS / 8);

/// Time after which there is room for a prompt that waits.
const ROOM_DELAY: Duration = Duration::from_millis(30);

/// Header of a request of a customer.
const CUSTOMER: &str = "Authorization: Bearer secret\r\n";

/// Headers by which a caller resumes a stream that it began.
const RESUMES: &str = "x-after: 2\r\nx-first-attempt: q1\r\n";

/// A gateway with a server that runs all its slots and more.
struct Setup {
    backend: Backend,
    service: Arc<Service>,
    node: Node,
    streams: Vec<TcpStream>,
}

impl Setup {
    async fn new(config: &str) -> Self {
        let backend = Backend::spawn(Behavior::HangStream).await;
        let (service, node) = ready(&[&backend]).await;
        service.set("config", Some(config));
        sleep(Duration::from_millis(600)).await;
        Self {
            backend,
            service,
            node,
            streams: Vec::new(),
        }
    }

    /// Runs streams that do not end before their deadline, without a customer that they would be
    /// charged to. Later ones end at once.
    async fn occupy(&mut self, streams: usize) {
        for running in 1..=streams {
            let request = caller::request(PATIENT_PREFIX, "x-tokens: 10\r\n");
            let stream = caller::open(self.node.callers, &request).await;
            self.streams.push(stream);
            self.wait_for_requests(running).await;
        }
        // The first tokens arrive.
        sleep(Duration::from_millis(50)).await;
        self.backend.state.set_behavior(Behavior::Stream, "");
    }

    /// Begins a stream that can be resumed as `q1`.
    async fn begin(&mut self) {
        let header_lines = format!("{CUSTOMER}x-tokens: 10\r\n");
        let request = caller::request(RESUMABLE_PREFIX, &header_lines);
        let mut stream = caller::open(self.node.callers, &request).await;
        read_until(&mut stream, "id: 2").await;
        self.streams.push(stream);
    }

    async fn wait_for_requests(&self, count: usize) {
        let until = Instant::now() + Duration::from_secs(1);
        while self.requests() < count {
            assert!(Instant::now() < until, "request {count} is not sent");
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Number of requests that reached the server.
    fn requests(&self) -> usize {
        self.backend.state.heads().len()
    }
}

/// A full server, and shares that no customer exceeds.
async fn full() -> Setup {
    let mut setup = Setup::new("6 tokens=1000000 secret").await;
    setup.occupy(STREAMS).await;
    setup
}

fn request(header_lines: &str) -> String {
    let header_lines =
        format!("Authorization: Bearer secret\r\nx-tokens: {TOKENS}\r\n{header_lines}");
    caller::request(WAITING_PREFIX, &header_lines)
}

/// Sends a prompt, and returns its response and the time that it took.
async fn send(setup: &Setup, header_lines: &str) -> (caller::Response, Duration) {
    let start = Instant::now();
    let response = caller::send(setup.node.callers, &request(header_lines)).await;
    (response, start.elapsed())
}

#[gtest]
#[tokio::test]
async fn a_prompt_waits_for_room_and_is_served() {
    let mut setup = full().await;
    let stream = setup.streams.pop();
    let room = async {
        sleep(Duration::from_millis(100)).await;
        drop(stream);
    };
    let ((response, elapsed), ()) = tokio::join!(send(&setup, ""), room);
    expect_that!(response.status, eq(200));
    expect_that!(response.is_complete, eq(true));
    expect_that!(elapsed, ge(Duration::from_millis(100)));
    expect_that!(setup.requests(), eq(STREAMS + 1));
}

#[gtest]
#[tokio::test]
async fn a_prompt_is_refused_when_it_can_no_longer_be_in_time() {
    // Its time to first token would be 3.72 s, which leaves 0.28 s.
    let setup = full().await;
    let (response, elapsed) = send(&setup, "").await;
    expect_that!(response.status, eq(503));
    expect_that!(response.body, contains_substring("busy"));
    expect_that!(response.head, contains_substring("retry-after: "));
    expect_that!(elapsed, ge(Duration::from_millis(200)));
    expect_that!(elapsed, lt(LONGEST + Duration::from_millis(100)));
    expect_that!(setup.requests(), eq(STREAMS));
}

#[gtest]
#[tokio::test]
async fn a_prompt_does_not_wait_beyond_its_deadline() {
    let setup = full().await;
    let (response, elapsed) = send(&setup, "x-patience-ms: 150\r\n").await;
    expect_that!(response.status, eq(503));
    expect_that!(elapsed, ge(Duration::from_millis(140)));
    expect_that!(elapsed, lt(Duration::from_millis(250)));
    expect_that!(setup.requests(), eq(STREAMS));
}

#[gtest]
#[tokio::test]
async fn a_prompt_does_not_wait_without_shares() {
    let mut setup = Setup::new("6 secret").await;
    setup.occupy(STREAMS).await;
    let (response, elapsed) = send(&setup, "").await;
    expect_that!(response.status, eq(503));
    expect_that!(elapsed, lt(Duration::from_millis(100)));
}

#[gtest]
#[tokio::test]
async fn a_caller_that_hangs_up_reaches_no_server() {
    let mut setup = full().await;
    let mut waiting = caller::open(setup.node.callers, &request("")).await;
    let answer = timeout(Duration::from_millis(100), waiting.read_u8()).await;
    expect_that!(answer.is_err(), eq(true), "the prompt waits");
    drop(waiting);
    sleep(Duration::from_millis(50)).await;
    setup.streams.clear();
    sleep(Duration::from_millis(300)).await;
    expect_that!(setup.requests(), eq(STREAMS));
    let (response, _) = send(&setup, "").await;
    expect_that!(response.status, eq(200), "the server has room");
}

#[gtest]
#[tokio::test]
async fn waiting_prompts_are_sent_once() {
    let mut setup = full().await;
    let mut tasks = Vec::new();
    for index in 0..20 {
        let callers = setup.node.callers;
        let request = request(&format!("x-number: {index}\r\n"));
        tasks.push(tokio::spawn(async move {
            caller::send(callers, &request).await
        }));
    }
    sleep(Duration::from_millis(100)).await;
    expect_that!(setup.requests(), eq(STREAMS), "all wait");
    for stream in setup.streams.drain(..) {
        drop(stream);
        sleep(Duration::from_millis(5)).await;
    }
    for task in tasks {
        let response = task.await.expect("no panic");
        expect_that!(response.status, eq(200));
    }
    let heads = setup.backend.state.heads();
    expect_that!(heads.len(), eq(STREAMS + 20));
    for index in 0..20 {
        let line = format!("x-number: {index}\r\n");
        let sent = heads.iter().filter(|head| head.contains(&line)).count();
        expect_that!(sent, eq(1), "{index}");
    }
}

#[gtest]
#[tokio::test]
async fn a_shutdown_refuses_waiting_prompts_at_once() {
    let mut setup = Setup::new("6 tokens=1000000 secret").await;
    let gateway = setup.node.gateway.take().expect("gateway is running");
    let shutdown = tokio::spawn(gateway.stop());
    let start = Instant::now();
    // The streams have a deadline of 1.5 s. Requests are refused after 2.5 s.
    sleep(Duration::from_millis(1_300)).await;
    setup.occupy(STREAMS).await;
    sleep(Duration::from_millis(2_250).saturating_sub(start.elapsed())).await;
    let (response, elapsed) = send(&setup, "").await;
    expect_that!(response.status, eq(503));
    expect_that!(response.body, contains_substring("stopping"));
    expect_that!(elapsed, ge(Duration::from_millis(100)), "it has waited");
    expect_that!(elapsed, lt(LONGEST));
    expect_that!(setup.requests(), eq(STREAMS));
    drop(setup.streams);
    shutdown.await.expect("shutdown does not panic");
}

#[gtest]
#[tokio::test]
async fn a_resumption_waits_for_room_as_a_new_prompt_does() {
    // Each misses its objective by a little. The objective of a resumption is twice as long.
    for (streams, tokens, header_lines) in [(10, 10_200, ""), (14, 9_000, RESUMES)] {
        let mut setup = Setup::new("6 tokens=1000000 timeout=4000 secret").await;
        let is_resumption = !header_lines.is_empty();
        if is_resumption {
            setup.begin().await;
        }
        setup.occupy(streams - usize::from(is_resumption)).await;
        let header_lines = format!("{CUSTOMER}x-tokens: {tokens}\r\n{header_lines}");
        let request = caller::request(RESUMABLE_PREFIX, &header_lines);
        let start = Instant::now();
        let ending = setup.streams.split_off(9);
        let room = async {
            sleep(ROOM_DELAY).await;
            expect_that!(setup.requests(), eq(streams), "{header_lines}");
            drop(ending);
        };
        let (response, ()) = tokio::join!(caller::send(setup.node.callers, &request), room);
        expect_that!(
            response.status,
            eq(200),
            "{header_lines}: {}",
            response.body
        );
        expect_that!(start.elapsed(), ge(ROOM_DELAY), "{header_lines}");
        expect_that!(setup.requests(), eq(streams + 1), "{header_lines}");
    }
}

#[gtest]
#[tokio::test]
async fn a_resumption_that_a_server_did_not_run_waits_for_another() {
    // The other server is idle, so it is asked first.
    for behavior in [Behavior::Reject, Behavior::WrongServer] {
        let mut setup = Setup::new("6 tokens=1000000 timeout=4000 secret").await;
        setup.begin().await;
        setup.occupy(13).await;
        let other = Backend::spawn(behavior).await;
        register(&setup.service, 1, &other, "ready");
        sleep(Duration::from_millis(300)).await;
        let header_lines = format!("{CUSTOMER}x-tokens: 9000\r\n{RESUMES}");
        let request = caller::request(RESUMABLE_PREFIX, &header_lines);
        let ending = setup.streams.split_off(8);
        let room = async {
            sleep(ROOM_DELAY).await;
            drop(ending);
        };
        let (response, ()) = tokio::join!(caller::send(setup.node.callers, &request), room);
        expect_that!(other.state.heads().len(), eq(1), "{behavior:?}");
        expect_that!(response.status, eq(200), "{behavior:?}: {}", response.body);
    }
}

#[gtest]
#[tokio::test]
async fn a_prompt_that_cannot_be_resumed_gains_nothing_by_an_event_to_go_on_from() {
    // Its time to first token would be 3.72 s, which leaves 0.28 s.
    let setup = full().await;
    let (response, elapsed) = send(&setup, "x-after: 2\r\n").await;
    expect_that!(response.status, eq(503));
    expect_that!(elapsed, lt(LONGEST + Duration::from_millis(100)));
    expect_that!(setup.requests(), eq(STREAMS));
}

#[gtest]
#[tokio::test]
async fn a_resumption_that_waits_goes_to_no_other_version() {
    let mut setup = Setup::new("6 tokens=1000000 timeout=4000 secret").await;
    setup.begin().await;
    setup.occupy(13).await;
    let other = Backend::spawn(Behavior::Stream).await;
    let value = format!("model {} ready version=2", other.address);
    setup.service.set("servers/other", Some(&value));
    sleep(PROPAGATION).await;
    let lines = format!("{CUSTOMER}x-tokens: 9000\r\n{RESUMES}");
    let request = caller::request(RESUMABLE_PREFIX, &lines);
    let running = setup.streams.split_off(8);
    let room = async {
        sleep(ROOM_DELAY).await;
        expect_that!(setup.requests(), eq(14), "it waits");
        drop(running);
    };
    let (response, ()) = tokio::join!(caller::send(setup.node.callers, &request), room);
    expect_that!(response.status, eq(200), "{}", response.body);
    expect_that!(setup.requests(), eq(15));
    expect_that!(other.state.heads().len(), eq(0));
}
