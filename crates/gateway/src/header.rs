//! Headers that are not forwarded.

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, EXPECT};
use mulberryyoke_wire::hop_by_hop;

/// Removes hop-by-hop headers and those that frame the body.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    hop_by_hop::strip(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
}
