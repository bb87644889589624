//! Refusals of requests during dispatch.

use hyper::StatusCode;
use mulberryyoke_model::Outcome;

use super::refusal::Refusal;

/// `Retry-After` for transient failures, in seconds.
pub(super) const RETRY_AFTER_S: u32 = 1;

/// A temporary refusal with status 503.
pub(super) fn unavailable(code: &'static str, message: impl Into<String>) -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
}

/// The pool has no server that accepts new requests.
pub(super) fn no_server() -> Refusal {
    unavailable("no_server", "no server of this pool takes new work").retry_after(RETRY_AFTER_S)
}

/// No attempt succeeded and no retry is left.
pub(super) fn unreachable(cause: &str) -> Refusal {
    let message = format!("no attempt succeeded and no retry is left: {cause}");
    unavailable("unreachable", message).retry_after(RETRY_AFTER_S)
}

/// A server may have run the request.
pub(super) fn outcome_unknown(cause: &str) -> Refusal {
    let message = format!("the request may have run: {cause}; ask for its outcome by its id");
    Refusal::new(StatusCode::BAD_GATEWAY, "outcome_unknown", message).outcome(Outcome::Unknown)
}

/// The deadline passed after the request was sent to a server.
pub(super) fn timed_out() -> Refusal {
    let message = "the deadline passed while a server held the request";
    Refusal::new(StatusCode::GATEWAY_TIMEOUT, "deadline_passed", message).outcome(Outcome::Unknown)
}

/// The sidecar could not parse the ticket.
pub(super) fn malformed() -> Refusal {
    let message = "the server's sidecar could not read the ticket";
    Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, "malformed", message)
}

/// The sidecar's table of idempotency keys is full.
pub(super) fn keys_full(retry_after_s: Option<u32>) -> Refusal {
    let message = "the server cannot remember more idempotency keys";
    unavailable("keys_full", message).retry_after(retry_after_s.unwrap_or(RETRY_AFTER_S))
}

/// It cannot be proved whether a request with this key ran.
pub(super) fn key_doubtful(retry_after_s: Option<u32>) -> Refusal {
    let message = "a request with this key may have run before a restart or a change of servers";
    unavailable("key_doubtful", message)
        .outcome(Outcome::Unknown)
        .retry_after(retry_after_s.unwrap_or(RETRY_AFTER_S))
}

/// A request with this key was started before.
pub(super) fn key_used(outcome: Outcome) -> Refusal {
    let message = "a request with this key was started before";
    Refusal::new(StatusCode::CONFLICT, "key_used", message).outcome(outcome)
}
