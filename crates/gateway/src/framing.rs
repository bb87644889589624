//! How the end of a response body is known.

use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;

/// How the end of a response body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By the length in the head.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of the connection, which a crash of the server also brings about.
    Connection,
}

impl Framing {
    /// Framing of a body, by the headers that it came with.
    pub(crate) fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            return Self::Length;
        }
        if headers.contains_key(TRANSFER_ENCODING) {
            return Self::Chunks;
        }
        Self::Connection
    }
}
