//! Headers that are not forwarded.

use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderValue};
use mulberryyoke_wire::hop_by_hop;

/// Removes hop-by-hop headers and those that frame the body.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    hop_by_hop::strip(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
}

/// Copies the values, which are parts of a connection's read buffer and keep the whole of it
/// allocated, into one allocation of their length.
pub(crate) fn compact(headers: &mut HeaderMap) {
    let length = headers.values().map(HeaderValue::len).sum();
    let mut bytes = BytesMut::with_capacity(length);
    for value in headers.values() {
        bytes.extend_from_slice(value.as_bytes());
    }
    let mut bytes = bytes.freeze();
    for value in headers.values_mut() {
        let copy = bytes.split_to(value.len());
        // Cannot fail: the bytes are those of a header value.
        if let Ok(copy) = HeaderValue::from_maybe_shared(copy) {
            *value = copy;
        }
    }
}
