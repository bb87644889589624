//! Headers of callers' requests and of answers.

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use mulberryyoke_wire::{ticket, verdict};

use super::refusal::{OUTCOME, REQUEST_ID};

/// Request header with the class: `urgent`, `normal` or `deferrable`.
pub(crate) const URGENCY: &str = "x-urgency";

/// Request header with the deadline, in milliseconds since the Unix epoch.
pub(crate) const DEADLINE: &str = "x-deadline";

/// Request header with a hint of the cost, in tokens.
pub(crate) const COST_HINT: &str = "x-cost-hint";

/// Request header of a request that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Keeps of a request's headers what its server may see: the end-to-end ones,
/// without the bearer key, which was for the router, and without names that
/// the router itself uses towards the sidecar.
pub(crate) fn forward(headers: &mut HeaderMap) {
    end_to_end(headers);
    for name in [AUTHORIZATION, HOST, CONTENT_LENGTH, EXPECT] {
        headers.remove(name);
    }
    headers.remove(ticket::HEADER);
}

/// Keeps of an answer's headers what its caller may see.
pub(crate) fn back(headers: &mut HeaderMap) {
    end_to_end(headers);
    headers.remove(verdict::HEADER);
    headers.remove(OUTCOME);
    headers.remove(REQUEST_ID);
}

fn end_to_end(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
}
