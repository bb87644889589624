//! Sends a request to a server.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use mulberryyoke_platform::Informational;
use tokio::time::Instant;

use super::receive::read_response;
use crate::backend::InFlight;
use crate::call::Call;
use crate::core::Core;
use crate::dispatch::Attempts;
use crate::outcome::Outcome;
use crate::protocol::Forwarding;
use crate::quarantine::Watch;
use crate::{clock, failure, quarantine};

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
