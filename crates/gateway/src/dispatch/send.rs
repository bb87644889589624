//! Sends a request to a server and reads the response.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode, Version};
use mulberryyoke_platform::Informational;
use tokio::time::Instant;

use super::collected::{Collected, collect};
use crate::backend::InFlight;
use crate::call::Call;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::dispatch::Attempts;
use crate::framing::Framing;
use crate::outcome::Outcome;
use crate::protocol::{Forwarding, Identity, ResponseHead, Verification};
use crate::quarantine::Watch;
use crate::response_body::ResponseBody;
use crate::{body_relay, clock, failure, header, notice, quarantine, stream_relay, survival};

/// Time to the response head after which a request is retried elsewhere, in percent of the
/// latency objective. It leaves the second server time to meet the objective.
const STALL_PERCENT: u64 = 60;

/// Like [`STALL_PERCENT`], for streams. With a full queue the first event may take the whole
/// objective, and a second server would have to start over.
const STREAM_STALL_PERCENT: u64 = 130;

/// Sends a request to its assigned server and waits for the response: up to the head of a stream
/// or large response, else to the end of the body.
pub(super) async fn send(
    core: &Arc<Core>,
    call: &Arc<Call>,
    mut in_flight: InFlight,
    attempts: &Attempts,
) -> Outcome {
    let backend = Arc::clone(&in_flight.backend);
    let opened = tokio::select! {
        opened = backend.conns.acquire() => opened,
        () = clock::wait_until(call.deadline_ms) => return Outcome::NotSent,
    };
    let mut conn = match opened {
        Ok(conn) => conn,
        Err(error) => {
            failure::record(
                core,
                call,
                &in_flight,
                "could not connect",
                &error.to_string(),
            );
            return Outcome::NotSent;
        }
    };
    // The server may have announced that it leaves, or asked for pushback, during the connect.
    if !backend.is_open() || backend.instance.is_pushing_back(clock::now_ms()) {
        return Outcome::Withheld;
    }
    // So may the source of a transfer.
    in_flight.recheck_source(clock::now_ms());
    let mut request = build_request(core, call, &in_flight, attempts.last_event(call));
    let informational = Informational::count(&mut request);
    in_flight.record_send(core);
    call.is_sent.store(true, Ordering::Relaxed);
    let mut sent = Box::pin(conn.sender.try_send_request(request));
    let watch = Watch::start(core, call, &in_flight);
    let mut stall = Some(stall_deadline(call));
    let sent = loop {
        tokio::select! {
            sent = &mut sent => break sent,
            () = clock::wait_until(call.deadline_ms) => {
                failure::record(core, call, &in_flight, "response timed out", "");
                return Outcome::TimedOut;
            }
            () = informational.exceeded() => {
                let text = "too many informational responses";
                failure::record(core, call, &in_flight, "response garbled", text);
                watch.resolve();
                return Outcome::InvalidResponse;
            }
            () = clock::sleep_until_opt(stall) => {}
        }
        stall = None;
        if attempts.may_give_up(call) && core.retry_budgets.try_withdraw(call.pool) {
            failure::record(core, call, &in_flight, "response stalled", "");
            quarantine::check_silence(core, call, &in_flight).await;
            watch.resolve();
            return Outcome::Stalled;
        }
        quarantine::spawn_silence_check(core, call, &in_flight);
    };
    watch.resolve();
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            let is_unsent = error.message().is_some();
            let text = error.error().to_string();
            failure::record(core, call, &in_flight, "connection failed", &text);
            if is_unsent {
                return Outcome::NotSent;
            }
            quarantine::record_failure(core, call, &in_flight).await;
            return Outcome::Unknown;
        }
    };
    read_response(core, call, in_flight, attempts, conn, response).await
}

/// Returns when a server counts as stalled that has not responded.
fn stall_deadline(call: &Call) -> Instant {
    let percent = if call.route.kind.is_stream() {
        STREAM_STALL_PERCENT
    } else {
        STALL_PERCENT
    };
    let ms = call.route.objective_ms * percent / 100;
    clock::after(Instant::now(), ms)
}

fn build_request(
    core: &Core,
    call: &Call,
    in_flight: &InFlight,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.bytes()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.clone().into();
    let mut headers = call.headers.clone();
    let forwarding = Forwarding {
        remaining_ms: call.remaining_ms().max(1),
        server: &in_flight.backend.server.name,
        customer: call.customer_name(),
        resume_after,
        fetch_from: in_flight.fetch().map(|(source, _)| source.server.address),
    };
    core.protocol.rewrite_headers(&mut headers, &forwarding);
    *request.headers_mut() = headers;
    request
}

async fn read_response(
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
