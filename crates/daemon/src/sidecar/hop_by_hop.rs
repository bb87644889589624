//! Hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName};

/// Hop-by-hop headers with a name constant.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let listed = headers.get_all(header::CONNECTION).iter();
    let listed = listed.filter_map(|value| value.to_str().ok());
    let listed: Vec<HeaderName> = listed
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
