//! Reads the response to a request that was sent to a server.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use tokio::time::Instant;

use super::collected::{Collected, collect};
use crate::backend::InFlight;
use crate::call::Call;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::dispatch::Attempts;
use crate::framing::Framing;
use crate::outcome::Outcome;
use crate::protocol::{Identity, ResponseHead, Verification};
use crate::response_body::ResponseBody;
use crate::{body_relay, clock, failure, header, notice, quarantine, stream_relay, survival};

/// Reads a response: up to the head of a stream or large response, else to the end of the body.
pub(super) async fn read_response(
    core: &Arc<Core>,
    call: &Arc<Call>,
    mut in_flight: InFlight,
    attempts: &Attempts,
    conn: Connection,
    response: Response<Incoming>,
) -> Outcome {
    let (mut head, body) = response.into_parts();
    let framing = Framing::of(&head.headers, &body);
    in_flight.record_head(framing, head.status.is_success());
    let response_head = core.protocol.parse_response(&head, &call.id);
    let identity = identify(core, call, &in_flight, &head);
    in_flight.record_identity(identity);
    if identity != Identity::Other {
        in_flight.backend.record_heard();
    }
    if let Some(left_ms) = response_head.cold_left_ms.filter(|left_ms| *left_ms > 0) {
        in_flight.backend.cold.extend(clock::ms_from_now(left_ms));
    }
    notice::apply(core, &in_flight.backend, response_head, &call.id);
    match response_head.verification {
        Verification::Sealed if is_valid_response(&head) => {}
        Verification::Sealed | Verification::Unverified => {
            failure::record(
                core,
                call,
                &in_flight,
                "unverified response",
                head.status.as_str(),
            );
            return Outcome::InvalidResponse;
        }
        Verification::Mismatched => {
            failure::record(core, call, &in_flight, "response to another request", "");
            return Outcome::InvalidResponse;
        }
        Verification::WrongServer => {
            failure::record(
                core,
                call,
                &in_flight,
                "address belongs to another server",
                "",
            );
            quarantine::record_replacement(core, &in_flight.backend);
            return Outcome::WrongServer;
        }
        Verification::NotExecuted => {
            failure::record(
                core,
                call,
                &in_flight,
                "request rejected",
                head.status.as_str(),
            );
            return Outcome::Rejected;
        }
    }
    let run = attempts.after_run();
    if !run.has_attempts_left(call) {
        call.release_body();
    }
    let is_success = head.status.is_success();
    header::strip_hop_by_hop(&mut head.headers);
    // The caller's connection has a version of its own.
    head.version = Version::HTTP_11;
    if call.route.kind.is_stream() && is_success {
        let body = (body, framing);
        let chunks = stream_relay::spawn(core, call, in_flight, run, (conn, response_head), body);
        return Outcome::Completed(Response::from_parts(head, ResponseBody::Stream(chunks)));
    }
    let conn = (conn, response_head);
    read_body(core, call, in_flight, &run, conn, head, body).await
}

/// Returns which server instance sent this response head.
fn identify(core: &Core, call: &Call, in_flight: &InFlight, head: &Parts) -> Identity {
    let server = &in_flight.backend.server.name;
    core.protocol.identify(head, Some(&call.id), server)
}

/// Whether an answer whose body has ended without an error is whole. If another server may be tried,
/// half of the time is left to it.
async fn is_whole(
    core: &Arc<Core>,
    call: &Call,
    in_flight: &InFlight,
    attempts: &Attempts,
) -> bool {
    let retry_ms = call.remaining_ms() / 2;
    let retry_at = clock::after(Instant::now(), retry_ms);
    let retry_at = attempts.has_attempts_left(call).then_some(retry_at);
    survival::is_whole(core, call, in_flight, retry_at).await
}

/// Whether a response is final, of a known class, and not encoded. Callers request neither a change of
/// protocol nor an encoding.
fn is_valid_response(head: &Parts) -> bool {
    (200..600).contains(&head.status.as_u16()) && !head.headers.contains_key(CONTENT_ENCODING)
}

/// Reads the body of a verified response that is not a stream.
async fn read_body(
    core: &Arc<Core>,
    call: &Arc<Call>,
    in_flight: InFlight,
    attempts: &Attempts,
    (conn, response_head): (Connection, ResponseHead),
    head: Parts,
    body: Incoming,
) -> Outcome {
    let collected = tokio::select! {
        collected = collect(body, call.account.as_ref()) => collected,
        () = clock::wait_until(call.deadline_ms) => {
            failure::record(core, call, &in_flight, "response body timed out", "");
            quarantine::record_abandoned(core, call, &in_flight);
            return Outcome::TimedOut;
        }
    };
    let body = match collected {
        Ok(Collected::Complete(_)) if !is_whole(core, call, &in_flight, attempts).await => {
            let text = "the server did not live on";
            failure::record(core, call, &in_flight, "response truncated", text);
            quarantine::record_failure(core, call, &in_flight).await;
            return Outcome::Unknown;
        }
        Ok(Collected::Complete(chunk)) => {
            failure::log_connection_end(core, call, &in_flight);
            quarantine::record_success(core, call, &in_flight);
            in_flight.complete(conn, response_head);
            if let Some(account) = &call.account {
                account.offer();
            }
            ResponseBody::chunk(chunk)
        }
        Ok(Collected::Partial(prefix, remaining)) => {
            // Only a server error is retried once its head has been received.
            if head.status < StatusCode::INTERNAL_SERVER_ERROR {
                call.release_body();
            }
            let chunks = body_relay::spawn(
                core,
                call,
                in_flight,
                (conn, response_head),
                prefix,
                remaining,
            );
            ResponseBody::Stream(chunks)
        }
        Err(error) => {
            failure::record(
                core,
                call,
                &in_flight,
                "response truncated",
                &error.to_string(),
            );
            quarantine::record_failure(core, call, &in_flight).await;
            return Outcome::Unknown;
        }
    };
    let response = Response::from_parts(head, body);
    if response.status() >= StatusCode::INTERNAL_SERVER_ERROR {
        return Outcome::ServerError(response);
    }
    Outcome::Completed(response)
}
