//! Headers that belong to one connection only.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName};

/// Headers that are not passed on.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];

/// Removes headers that belong to one connection only, those that `Connection`
/// names included.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<HeaderName> = named
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
