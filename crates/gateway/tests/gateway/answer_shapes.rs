//! Answers with a length, with chunks and with neither, whole and broken off.

use googletest::prelude::*;
use tokio::io::AsyncReadExt;

use crate::backend::{Backend, Behavior};
use crate::caller::{self, Response};
use crate::fleet::{Node, ready_at};
use crate::shaped_server::{End, FRAMINGS, Framing, Script, ShapedServer, script};

const PROMPT: &str = "x-tokens: 100\r\n";

/// Length of an event that no read buffer holds, in bytes.
const LARGE_EVENT_BYTES: usize = 100_000;

/// Limits of event buffers after which an end may go unnoticed, in bytes.
const BUFFER_BYTES: [usize; 2] = [64 << 10, 128 << 10];

/// Length of a body that is relayed as it arrives, in bytes.
const LARGE_BODY_BYTES: usize = 400_000;

/// Header lines of a caller that resumes a stream after this event.
fn after(event: u64) -> String {
    format!("{PROMPT}x-after: {event}\r\n")
}

fn events(last: u64) -> String {
    let events = (1..=last).map(|event| format!("id: {event}\ndata: t{event}\n\n"));
    events.collect::<Vec<String>>().concat()
}

/// Returns the IDs of the received events.
fn event_ids(response: &Response) -> Vec<u64> {
    let lines = response.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Sends a request to a gateway whose only server sends this script.
async fn send_alone(script: Script, path: &str) -> Response {
    let server = ShapedServer::spawn(script).await;
    let (_service, node) = ready_at(&[server.address], None).await;
    node.send(path, PROMPT).await
}

/// Sends requests to a gateway with a server that sends this script and another that is sound, until
/// the former has received one. Returns its response.
async fn send_beside_sound(script: Script, path: &str) -> Response {
    let server = ShapedServer::spawn(script).await;
    let sound = Backend::spawn(Behavior::Stream).await;
    if path == "/idempotent/" {
        sound.state.set_behavior(Behavior::Answer, "");
    }
    let (_service, node) = ready_at(&[server.address, sound.address], None).await;
    until_received(&node, &server, path).await
}

async fn until_received(node: &Node, server: &ShapedServer, path: &str) -> Response {
    for _ in 0..60 {
        let response = node.send(path, PROMPT).await;
        if server.requests() > 0 {
            return response;
        }
    }
    panic!("the server received no request");
}

#[gtest]
#[tokio::test]
async fn whole_streams_are_complete_in_every_framing() {
    let crlf = events(4).replace('\n', "\r\n");
    let large = format!("id: 1\ndata: {}\n\n", "x".repeat(LARGE_EVENT_BYTES)) + &events(4)[14..];
    for whole in [events(4), crlf, large] {
        for framing in FRAMINGS {
            let script = script(framing, whole.as_bytes(), whole.len(), End::Close);
            let response = send_alone(script, "/resumable/").await;
            expect_that!(event_ids(&response), eq(&[1, 2, 3, 4]), "{framing:?}");
            expect_that!(response.is_complete, eq(true), "{framing:?}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn streams_that_end_inside_an_event_are_broken_off_and_resumed() {
    let (two, four) = (events(2), events(4));
    let tails: [&[u8]; 6] = [
        b"i",
        b"id: 3\nda",
        b"id: 3\ndata: t3\n",
        b"id: 3\ndata: t3\r\n\r",
        b"id: 3\ndata: \xe2\x82",
        b"id: 3\ndata: t3\n\r",
    ];
    for tail in tails {
        for (framing, end) in [
            (Framing::Length, End::Close),
            (Framing::Chunks, End::Close),
            (Framing::Neither, End::Close),
            (Framing::Neither, End::Reset),
        ] {
            let name = format!("{} {framing:?} {end:?}", String::from_utf8_lossy(tail));
            let whole = [two.as_bytes(), tail, four.as_bytes()].concat();
            let sent = two.len() + tail.len();
            let script = script(framing, &whole, sent, end);
            let response = send_alone(script.clone(), "/stream/").await;
            expect_that!(event_ids(&response), eq(&[1, 2]), "{name}");
            expect_that!(response.is_complete, eq(false), "{name}");
            let response = send_beside_sound(script, "/resumable/").await;
            expect_that!(event_ids(&response), eq(&[1, 2, 3, 4]), "{name}");
            expect_that!(response.is_complete, eq(true), "{name}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn streams_that_end_between_events_are_whole_only_if_nothing_says_otherwise() {
    let (two, four) = (events(2), events(4));
    for (framing, end, is_whole) in [
        (Framing::Length, End::Close, false),
        (Framing::Chunks, End::Close, false),
        (Framing::Neither, End::Close, true),
        (Framing::Neither, End::Reset, false),
    ] {
        let name = format!("{framing:?} {end:?}");
        let script = script(framing, four.as_bytes(), two.len(), end);
        let response = send_alone(script.clone(), "/stream/").await;
        expect_that!(event_ids(&response), eq(&[1, 2]), "{name}");
        expect_that!(response.is_complete, eq(is_whole), "{name}");
        let response = send_beside_sound(script, "/resumable/").await;
        let last = if is_whole { 2 } else { 4 };
        let ids: Vec<u64> = (1..=last).collect();
        expect_that!(event_ids(&response), eq(&ids), "{name}");
        expect_that!(response.is_complete, eq(true), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn streams_that_end_between_events_as_their_server_crashes_are_broken_off_and_resumed() {
    let (two, four) = (events(2), events(4));
    let crash = || script(Framing::Neither, four.as_bytes(), two.len(), End::Crash);
    let response = send_alone(crash(), "/stream/").await;
    expect_that!(event_ids(&response), eq(&[1, 2]));
    expect_that!(response.is_complete, eq(false));
    let response = send_beside_sound(crash(), "/resumable/").await;
    expect_that!(event_ids(&response), eq(&[1, 2, 3, 4]));
    expect_that!(response.is_complete, eq(true));

    let server = ShapedServer::spawn(crash()).await;
    let (_service, node) = ready_at(&[server.address], None).await;
    let request = caller::request("/stream/", PROMPT).replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = caller::open(node.callers, &request).await;
    let read = stream.read_to_end(&mut Vec::new()).await;
    expect_that!(read.is_ok(), eq(false));
}

#[gtest]
#[tokio::test]
async fn streams_without_an_event_that_end_with_their_connection_are_broken_off() {
    let whole = events(4);
    for text in ["", ": comment\n\n", ": half a comm"] {
        for (framing, end) in [
            (Framing::Length, End::Close),
            (Framing::Chunks, End::Close),
            (Framing::Neither, End::Close),
            (Framing::Neither, End::Reset),
        ] {
            let name = format!("{text} {framing:?} {end:?}");
            let whole = format!("{text}{whole}");
            let script = script(framing, whole.as_bytes(), text.len(), end);
            let response = send_alone(script.clone(), "/stream/").await;
            expect_that!(response.is_complete, eq(false), "{name}");
            let response = send_beside_sound(script, "/resumable/").await;
            expect_that!(event_ids(&response), eq(&[1, 2, 3, 4]), "{name}");
            expect_that!(response.is_complete, eq(true), "{name}");
        }
    }
}

// A caller that resumes a stream of which it has all events got a broken answer each time.
#[gtest]
#[tokio::test]
async fn resumptions_without_an_event_are_whole_if_their_server_lives_on() {
    for text in ["", ": comment\n\n"] {
        let script = script(Framing::Neither, text.as_bytes(), text.len(), End::Close);
        let servers = [
            ShapedServer::spawn(script.clone()).await,
            ShapedServer::spawn(script).await,
        ];
        let addresses = servers.each_ref().map(|server| server.address);
        let (_service, node) = ready_at(&addresses, None).await;
        let response = node.send("/resumable/", &after(4)).await;
        expect_that!(response.status, eq(200), "{text}");
        expect_that!(event_ids(&response), is_empty(), "{text}");
        expect_that!(response.is_complete, eq(true), "{text}");
        let runs: u64 = servers.iter().map(ShapedServer::requests).sum();
        expect_that!(runs, eq(1), "{text}");
    }
}

#[gtest]
#[tokio::test]
async fn resumptions_without_an_event_are_broken_off_if_their_server_crashes() {
    let crash = || script(Framing::Neither, b"", 0, End::Crash);
    let server = ShapedServer::spawn(crash()).await;
    let (_service, node) = ready_at(&[server.address], None).await;
    let response = node.send("/resumable/", &after(2)).await;
    expect_that!(server.requests(), eq(1));
    expect_that!(response.is_complete, eq(false));

    let server = ShapedServer::spawn(crash()).await;
    let sound = Backend::spawn(Behavior::Stream).await;
    let (_service, node) = ready_at(&[server.address, sound.address], None).await;
    while server.requests() == 0 {
        let response = node.send("/resumable/", &after(2)).await;
        expect_that!(event_ids(&response), eq(&[3, 4]));
        expect_that!(response.is_complete, eq(true));
    }
}

#[gtest]
#[tokio::test]
async fn empty_streams_whose_end_is_marked_are_whole() {
    for framing in [Framing::Length, Framing::Chunks] {
        let response = send_alone(script(framing, b"", 0, End::Keep), "/stream/").await;
        expect_that!(response.status, eq(200), "{framing:?}");
        expect_that!(response.is_complete, eq(true), "{framing:?}");
    }
}

#[gtest]
#[tokio::test]
async fn parts_of_a_large_event_are_not_joined_with_another_run() {
    let begin = "id: 1\ndata: t1\n\nid: 2\ndata: ";
    let sizes = BUFFER_BYTES
        .iter()
        .flat_map(|limit| [limit - 1, *limit, limit + 1, limit + 16, 2 * limit]);
    for size in sizes {
        // The second event has this size when the connection ends.
        let text = "x".repeat(size - "id: 2\ndata: ".len());
        let sent = begin.len() + text.len();
        let whole = format!("{begin}{text}\n\n");
        for (framing, end) in [
            (Framing::Chunks, End::Close),
            (Framing::Neither, End::Close),
            (Framing::Chunks, End::Keep),
        ] {
            let name = format!("{size} {framing:?} {end:?}");
            let script = script(framing, whole.as_bytes(), sent, end);
            let response = send_alone(script.clone(), "/stream/").await;
            expect_that!(response.is_complete, eq(false), "{name}");
            expect_that!(event_ids(&response), eq(&[1]), "{name}");
            let response = send_beside_sound(script, "/resumable/").await;
            expect_that!(event_ids(&response), eq(&[1, 2, 3, 4]), "{name}");
            expect_that!(response.body.contains('x'), eq(false), "{name}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_stream_is_not_resumed_after_an_event_without_an_id() {
    for (text, last) in [
        ("data: t0\n\n", 0),
        ("id: 1\ndata: t1\n\ndata: t0\n\n", 1),
        ("id: 1\ndata: t1\n\ndata: t0\n\nid: 2\ndata: t2\n\n", 4),
        ("id: 1\ndata: t1\n\ndata: t0\n\n: comment\n\n", 1),
    ] {
        let whole = text.to_owned() + &events(4);
        for end in [End::Close, End::Keep] {
            let script = script(Framing::Chunks, whole.as_bytes(), text.len(), end);
            let response = send_beside_sound(script, "/resumable/").await;
            let ids: Vec<u64> = (1..=last).collect();
            expect_that!(event_ids(&response), eq(&ids), "{text:?}");
            expect_that!(response.body.matches("t0").count(), eq(1), "{text:?}");
            expect_that!(response.is_complete, eq(last == 4), "{text:?}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn plain_answers_are_whole_unless_their_framing_or_a_reset_says_otherwise() {
    let large = "x".repeat(LARGE_BODY_BYTES);
    for (framing, sent, end, is_whole) in [
        (Framing::Length, 4, End::Close, true),
        (Framing::Length, 3, End::Close, false),
        (Framing::Chunks, 4, End::Close, true),
        (Framing::Chunks, 3, End::Close, false),
        (Framing::Neither, 4, End::Close, true),
        (Framing::Neither, 4, End::Reset, false),
        (Framing::Neither, 0, End::Reset, false),
    ] {
        let name = format!("{framing:?} {sent} {end:?}");
        let script = script(framing, b"DONE", sent, end);
        let response = send_alone(script.clone(), "/once/").await;
        let status = if is_whole { 200 } else { 502 };
        expect_that!(response.status, eq(status), "{name}");
        expect_that!(response.is_complete, eq(true), "{name}");
        let response = send_beside_sound(script, "/idempotent/").await;
        expect_that!(response.status, eq(200), "{name}");
        let body = if is_whole { "DONE" } else { "done" };
        expect_that!(response.body, eq(body), "{name}");
    }
    for (framing, sent, end, is_whole) in [
        (Framing::Length, large.len(), End::Close, true),
        (Framing::Length, large.len() - 1, End::Close, false),
        (Framing::Chunks, large.len(), End::Close, true),
        (Framing::Chunks, large.len() - 1, End::Close, false),
        (Framing::Neither, large.len(), End::Close, true),
        (Framing::Neither, large.len(), End::Reset, false),
    ] {
        let name = format!("{framing:?} {sent} {end:?}");
        let script = script(framing, large.as_bytes(), sent, end);
        let response = send_alone(script, "/once/").await;
        expect_that!(response.status, eq(200), "{name}");
        expect_that!(response.is_complete, eq(is_whole), "{name}");
    }
}

#[gtest]
#[tokio::test]
async fn a_caller_without_chunks_notices_that_an_answer_is_broken_off() {
    let large = "x".repeat(LARGE_BODY_BYTES);
    let (four, two) = (events(4), events(2));
    for (path, whole, sent) in [
        ("/stream/", &four, two.len()),
        ("/stream/", &four, four.len()),
        ("/once/", &large, large.len() - 1),
        ("/once/", &large, large.len()),
    ] {
        let script = script(Framing::Chunks, whole.as_bytes(), sent, End::Close);
        let server = ShapedServer::spawn(script).await;
        let (_service, node) = ready_at(&[server.address], None).await;
        let request = caller::request(path, PROMPT).replace("HTTP/1.1", "HTTP/1.0");
        let mut stream = caller::open(node.callers, &request).await;
        let mut bytes = Vec::new();
        let read = stream.read_to_end(&mut bytes).await;
        expect_that!(read.is_ok(), eq(sent == whole.len()), "{path} {sent}");
    }
}
