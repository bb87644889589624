//! Event boundaries, wherever the bytes of a stream are divided.

use bytes::Bytes;
use googletest::prelude::*;
use mulberryyoke_wire::sse::{self, EventBuffer};

/// Events with all forms of line ends that end an event.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\r\n";

/// Size of an event that is larger than the maximum, in bytes.
const LARGE_BYTES: usize = 200 << 10;

fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

#[gtest]
fn events_are_found_wherever_the_stream_is_divided() {
    for size in 1..=EVENTS.len() {
        let mut buffer = EventBuffer::default();
        let mut received = Vec::new();
        for part in EVENTS.as_bytes().chunks(size) {
            let events = buffer.push_whole(Bytes::copy_from_slice(part));
            received.extend(events.expect("small events"));
        }
        expect_that!(received, eq(EVENTS.as_bytes()), "{size}");
        expect_that!(buffer.is_empty(), eq(true), "{size}");
    }
}

#[gtest]
fn a_lone_carriage_return_ends_no_event() {
    for end in ["\r", "\n\r", "\r\n\r"] {
        let mut buffer = EventBuffer::default();
        let events = buffer.push_whole(bytes(&format!("id: 1\ndata: a{end}")));
        expect_that!(events, some(eq(&Bytes::new())), "{end:?}");
        expect_that!(buffer.is_empty(), eq(false), "{end:?}");
    }
}

#[gtest]
fn an_event_that_is_too_large_is_passed_on_in_parts_or_not_at_all() {
    let large = bytes(&"x".repeat(LARGE_BYTES));
    expect_that!(EventBuffer::default().push_whole(large.clone()), none());
    let mut buffer = EventBuffer::default();
    expect_that!(buffer.push(large).len(), eq(LARGE_BYTES));
    expect_that!(buffer.is_split(), eq(true));
}

#[gtest]
fn comments_are_no_events() {
    for (text, has_event) in [
        (": comment\n\n", false),
        ("\n\n", false),
        ("retry: 5\n\n", false),
        ("id: 1\n\n", true),
        (": comment\r\n\r\ndata: a\r\n\r\n", true),
    ] {
        expect_that!(sse::has_event(text.as_bytes()), eq(has_event), "{text:?}");
    }
}

#[gtest]
fn an_event_without_an_id_is_noticed_if_it_is_the_last() {
    for (text, is_noticed) in [
        ("id: 1\ndata: a\n\n", false),
        ("data: a\nid: 1\n\n", false),
        ("data: a\n\nid: 2\ndata: b\n\n", false),
        ("id: 1\ndata: a\n\ndata: b\n\n", true),
        ("id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", true),
        ("data: b\n\n: comment\n\n", true),
        ("id: 1\ndata: a\n\n: comment\n\n", false),
        (": comment\n\n", false),
    ] {
        expect_that!(
            sse::ends_without_id(text.as_bytes()),
            eq(is_noticed),
            "{text:?}"
        );
    }
}
