//! Headers that are not passed on.

use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, EXPECT};
use mulberryyoke_wire::hop_by_hop;

/// Removes the headers that concern one connection only, those that frame the
/// body among them.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    hop_by_hop::strip(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
}
