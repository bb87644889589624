//! Request and response headers.

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST};
use mulberryyoke_wire::{hop_by_hop, ticket, verdict};

use super::refusal::{OUTCOME, REQUEST_ID};

/// Request header with the class: `urgent`, `normal` or `deferrable`.
pub(crate) const URGENCY: &str = "x-urgency";

/// Request header with the deadline, in milliseconds since the Unix epoch.
pub(crate) const DEADLINE: &str = "x-deadline";

/// Request header with a hint of the cost, in tokens.
pub(crate) const COST_HINT: &str = "x-cost-hint";

/// Request header of a request that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Strips hop-by-hop headers, the bearer key and the router's internal headers
/// from a request before it is forwarded.
pub(crate) fn strip_request(headers: &mut HeaderMap) {
    hop_by_hop::strip(headers);
    for name in [AUTHORIZATION, HOST, CONTENT_LENGTH, EXPECT] {
        headers.remove(name);
    }
    headers.remove(ticket::HEADER);
}

/// Strips hop-by-hop and internal headers from a response before it is forwarded.
pub(crate) fn strip_response(headers: &mut HeaderMap) {
    hop_by_hop::strip(headers);
    headers.remove(verdict::HEADER);
    headers.remove(OUTCOME);
    headers.remove(REQUEST_ID);
}
