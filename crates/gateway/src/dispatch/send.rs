//! Sending a request to one server.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::{Request, Response, StatusCode};

use crate::backend::InFlight;
use crate::call::Call;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::dispatch::Trials;
use crate::failure::fail;
use crate::header;
use crate::outcome::Outcome;
use crate::protocol::{Forwarding, Verification};
use crate::response_body::ResponseBody;
use crate::{body_relay, clock, notice, quarantine, stream_relay};

/// Largest answer that is kept until it is whole, in bytes; larger ones are passed on as they come.
const WHOLE_BYTES: usize = 256 << 10;

/// Sends a request to the server where it is counted, and waits for the answer's
/// head, or for a short answer's end.
pub(super) async fn send(
    core: &Arc<Core>,
    call: &Arc<Call>,
    running: InFlight,
    trials: &Trials,
    resume_after: Option<u64>,
) -> Outcome {
    let backend = Arc::clone(&running.backend);
    let opened = tokio::select! {
        opened = backend.conns.acquire() => opened,
        () = clock::wait_until(call.deadline_ms) => return Outcome::Unsent,
    };
    let mut conn = match opened {
        Ok(conn) => conn,
        Err(error) => {
            fail(
                core,
                call,
                &running,
                "could not connect",
                &error.to_string(),
            );
            return Outcome::Unsent;
        }
    };
    // What was learnt of the server while this request waited for a connection binds it as well.
    if !backend.is_open() || backend.instance.is_pushing_back(clock::now_ms()) {
        return Outcome::Withheld;
    }
    let request = request(core, call, &running, resume_after);
    let mut sent = Box::pin(conn.sender.try_send_request(request));
    let mut stall = trials.stall(call);
    let sent = loop {
        tokio::select! {
            sent = &mut sent => break sent,
            () = clock::wait_until(call.deadline_ms) => {
                fail(core, call, &running, "no answer in time", "");
                return Outcome::TimedOut;
            }
            () = clock::sleep_until_opt(stall) => {}
        }
        stall = None;
        if core.retry_budgets.try_withdraw(call.pool) {
            fail(core, call, &running, "no answer for long", "");
            return Outcome::Stalled;
        }
    };
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            let is_unsent = error.message().is_some();
            let text = error.error().to_string();
            fail(core, call, &running, "connection failed", &text);
            if is_unsent {
                return Outcome::Unsent;
            }
            quarantine::record_failure(core, call, &running).await;
            return Outcome::Unknown;
        }
    };
    read(core, call, running, trials, conn, response).await
}

fn request(
    core: &Core,
    call: &Call,
    running: &InFlight,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.clone().into();
    let mut headers = call.headers.clone();
    let order = Forwarding {
        remaining_ms: call.left_ms().max(1),
        server: &running.backend.server.name,
        customer: call.customer_name(),
        resume_after,
    };
    core.protocol.rewrite_headers(&mut headers, &order);
    *request.headers_mut() = headers;
    request
}

async fn read(
    core: &Arc<Core>,
    call: &Arc<Call>,
    running: InFlight,
    trials: &Trials,
    conn: Connection,
    response: Response<Incoming>,
) -> Outcome {
    let (mut head, body) = response.into_parts();
    let reading = core.protocol.parse_response(&head, &call.id);
    if let Some(left_ms) = reading.cold_left_ms.filter(|left_ms| *left_ms > 0) {
        running.backend.cold.extend(clock::now_ms() + left_ms);
    }
    notice::apply(core, &running.backend, reading, &call.id);
    match reading.verification {
        Verification::Sealed if !head.headers.contains_key(CONTENT_ENCODING) => {}
        Verification::Sealed | Verification::Unverified => {
            fail(
                core,
                call,
                &running,
                "no answer of a server",
                head.status.as_str(),
            );
            return Outcome::Garbled;
        }
        Verification::Mismatched => {
            fail(core, call, &running, "answer of another request", "");
            return Outcome::Garbled;
        }
        Verification::WrongServer => {
            fail(core, call, &running, "another server has the address", "");
            running.backend.close();
            return Outcome::OtherServer;
        }
        Verification::NotExecuted => {
            fail(core, call, &running, "turned away", head.status.as_str());
            return Outcome::TurnedAway;
        }
    }
    let is_success = head.status.is_success();
    header::strip_hop_by_hop(&mut head.headers);
    if call.route.kind.is_stream() && is_success {
        let trials = trials.after_run();
        let pieces = stream_relay::spawn(core, call, running, trials, (conn, reading), body);
        return Outcome::Answered(Response::from_parts(head, ResponseBody::Stream(pieces)));
    }
    let collected = tokio::select! {
        collected = collect(body) => collected,
        () = clock::wait_until(call.deadline_ms) => {
            fail(core, call, &running, "no whole answer in time", "");
            return Outcome::TimedOut;
        }
    };
    let answer = match collected {
        Ok(Collected::Whole(whole)) => {
            quarantine::record_success(core, || call.digest());
            running.complete(conn, reading);
            ResponseBody::full(whole)
        }
        Ok(Collected::Large(begun, rest)) => {
            let pieces = body_relay::spawn(core, call, running, (conn, reading), begun, rest);
            ResponseBody::Stream(pieces)
        }
        Err(error) => {
            fail(core, call, &running, "answer broke off", &error.to_string());
            quarantine::record_failure(core, call, &running).await;
            return Outcome::Unknown;
        }
    };
    let response = Response::from_parts(head, answer);
    if response.status() >= StatusCode::INTERNAL_SERVER_ERROR {
        return Outcome::Failed(response);
    }
    Outcome::Answered(response)
}

/// A body as far as it is kept.
enum Collected {
    /// To its end.
    Whole(Bytes),
    /// Its beginning, and where the rest comes from.
    Large(Bytes, Incoming),
}

/// Reads a body to its end, or until it is larger than is kept.
async fn collect(mut body: Incoming) -> Result<Collected, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        read.extend_from_slice(&frame?.into_data().unwrap_or_default());
        if read.len() > WHOLE_BYTES {
            return Ok(Collected::Large(read.freeze(), body));
        }
    }
    Ok(Collected::Whole(read.freeze()))
}
