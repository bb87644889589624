//! How the end of a response body is recognized (RFC 9112, section 6.3).

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// How the end of a response body is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length or its last chunk.
    Delimited,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a response with these headers.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last = last.and_then(|value| value.to_str().ok());
        let coding = last.and_then(|codings| codings.rsplit(',').next());
        let is_chunked = coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
        if is_chunked || headers.contains_key(CONTENT_LENGTH) {
            return Self::Delimited;
        }
        Self::UntilClose
    }
}
