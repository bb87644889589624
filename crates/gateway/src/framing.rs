//! How the end of a response body is known (RFC 9112, section 6.3).

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
        let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last = last.and_then(|value| value.to_str().ok());
        let coding = last.and_then(|codings| codings.rsplit(',').next());
        if coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            return Self::Chunks;
        }
        Self::Connection
    }
}
