//! Sends one attempt to a server.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::{Ticket, Verdict, ticket};

use super::abandoned_attempt;
use super::call::Call;
use super::core::Core;
use super::header;
use super::in_flight::InFlight;
use super::link::Link;
use super::refusal::REQUEST_ID;
use super::relay::Relay;
use super::response::{self, ResponseFuture};
use super::response_body::ResponseBody;
use super::slot::Slot;
use crate::clock;

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The server sent a response.
    Response(Response<ResponseBody>),
    /// The sidecar rejected the attempt. Carries its `Retry-After`, in seconds.
    Rejected(Verdict, Option<u32>),
    /// The request was not sent. Carries the cause.
    NotSent(String),
    /// The attempt may be running or have run. Carries the cause.
    Unknown(String),
    /// Like [`AttemptResult::Unknown`], because the deadline passed.
    TimedOut,
    /// Like [`AttemptResult::Unknown`], because the router is stopping.
    Stopping,
}

/// Sends a request and waits for the response head.
pub(crate) async fn send(core: &Arc<Core>, call: &Call, mut slot: Slot) -> AttemptResult {
    let link = Arc::clone(&slot.link);
    let mut sender = match link.data.sender().await {
        Ok(sender) => sender,
        Err(error) => return AttemptResult::NotSent(error.to_string()),
    };
    let grant = slot.take_grant();
    let max_deadline = clock::now().saturating_add(core.settings.retention_ms);
    let request = build_request(call, &link, &call.ticket(grant, max_deadline));
    let in_flight = InFlight::start(core, &link, call);
    log!(core.logger, Event::Routed,
        "request" => call.attempt.request_id(),
        "attempt" => call.attempt.number,
        "customer" => call.customer.0,
        "class" => call.class.as_str(),
        "server" => &link.server.name,
        "granted" => grant.is_some(),
        "waited_ms" => clock::now().saturating_sub(call.received_at));
    let mut response: ResponseFuture = Box::pin(sender.try_send_request(request));
    tokio::select! {
        biased;
        result = &mut response => handle_result(core, call, in_flight, result),
        () = link.wait_unresponsive() => {
            in_flight.record_unknown();
            abandoned_attempt::watch(core, &link, call, response);
            AttemptResult::Unknown("server is silent".to_owned())
        }
        () = tokio::time::sleep_until(clock::instant(call.deadline)) => {
            in_flight.record_unknown();
            abandoned_attempt::watch(core, &link, call, response);
            AttemptResult::TimedOut
        }
        () = core.shutdown.abandon.cancelled() => {
            in_flight.record_unknown();
            AttemptResult::Stopping
        }
    }
}

fn build_request(call: &Call, link: &Link, ticket: &Ticket) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    let uri = format!("http://{}{}", link.server.data, call.path);
    *request.uri_mut() = uri.parse().expect("an address and a parsed path are a URI");
    *request.headers_mut() = call.headers.clone();
    let packed = ticket::pack(ticket);
    let packed = HeaderValue::from_str(&packed).expect("a packed ticket is a header value");
    request.headers_mut().insert(ticket::HEADER, packed);
    request
}

fn handle_result(
    core: &Core,
    call: &Call,
    in_flight: InFlight,
    result: Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>,
) -> AttemptResult {
    let response = match result {
        Ok(response) => response,
        Err(error) if error.message().is_some() => {
            in_flight.record_not_run();
            return AttemptResult::NotSent(error.error().to_string());
        }
        Err(error) => {
            in_flight.record_unknown();
            return AttemptResult::Unknown(error.error().to_string());
        }
    };
    let Some(verdict) = response::verdict(&response) else {
        return AttemptResult::Response(relay_response(core, call, in_flight, response));
    };
    if verdict.is_not_run() {
        in_flight.record_not_run();
    } else {
        in_flight.record_unknown();
    }
    AttemptResult::Rejected(verdict, retry_after(&response))
}

fn retry_after(response: &Response<Incoming>) -> Option<u32> {
    let value = response.headers().get(hyper::header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}

fn relay_response(
    core: &Core,
    call: &Call,
    in_flight: InFlight,
    response: Response<Incoming>,
) -> Response<ResponseBody> {
    let (mut parts, body) = response.into_parts();
    header::strip_response(&mut parts.headers);
    let relay = Relay::new(core.stall_monitor.register(body), in_flight);
    let mut response = Response::new(ResponseBody::Relay(relay));
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    if let Ok(id) = HeaderValue::from_str(&call.attempt.request_id()) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}
