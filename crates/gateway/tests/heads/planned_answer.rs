//! Answers of planned servers.

use crate::backend::field;

/// Last event of a whole stream.
pub(crate) const LAST_EVENT: u64 = 4;

/// Last chunk and trailer of an answer.
pub(crate) const TRAILER: &str = "0\r\nx-trailer: a\r\n\r\n";

/// Whether a request is for a plain route.
pub(crate) fn is_plain(head: &str) -> bool {
    let paths = ["/once/", "/idempotent/", "/keyed/"];
    paths.iter().any(|path| head.contains(path))
}

/// A whole answer to a request.
pub(crate) fn whole(head: &str, id: &str) -> Vec<u8> {
    if head.starts_with("get ") {
        return b"HTTP/1.1 404 Any\r\ncontent-length: 0\r\n\r\n".to_vec();
    }
    if is_plain(head) {
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: whole\r\ncontent-length: 4\r\n\r\ndone"
        );
        return text.into_bytes();
    }
    let after = field(head, "x-after").and_then(|event| event.parse().ok());
    let events = chunks(false, after.unwrap_or(0) + 1, LAST_EVENT);
    (stream_head(id) + &events + "0\r\n\r\n").into_bytes()
}

/// Adds to an answer that it is the last on its connection.
pub(crate) fn last(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    text.replacen("\r\n", "\r\nconnection: close\r\n", 1)
        .into_bytes()
}

/// A stream that breaks off after two events.
pub(crate) fn broken(id: &str) -> Vec<u8> {
    (stream_head(id) + &chunks(false, 1, 2)).into_bytes()
}

pub(crate) fn stream_head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: whole\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Chunks of a plain body or of events, without the last.
pub(crate) fn chunks(is_plain: bool, first: u64, last: u64) -> String {
    if is_plain {
        return "2\r\ndo\r\n2;a=b\r\nne\r\n".to_owned();
    }
    let events = (first..=last).map(|event| {
        let text = event_text(event);
        format!("{:x}\r\n{text}\r\n", text.len())
    });
    events.collect()
}

/// Length of the chunks and the trailer of an answer, in bytes.
pub(crate) fn chunks_len(path: &str) -> usize {
    (chunks(is_plain(path), 1, LAST_EVENT) + TRAILER).len()
}

fn event_text(event: u64) -> String {
    format!("id: {event}\ndata: t{event}\n\n")
}

/// A sealed failure with at least so many bytes of events as its body.
pub(crate) fn failure(id: &str, bytes: usize) -> Vec<u8> {
    let text = event_text(LAST_EVENT).repeat(bytes / event_text(LAST_EVENT).len() + 1);
    let length = text.len();
    let head = format!(
        "HTTP/1.1 500 Any\r\nx-id: {id}\r\nx-seal: cut\r\ncontent-length: {length}\r\n\r\n"
    );
    (head + &text).into_bytes()
}
