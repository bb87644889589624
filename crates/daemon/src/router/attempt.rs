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

use super::answer::Answer;
use super::call::Call;
use super::core::Core;
use super::header;
use super::late;
use super::link::Link;
use super::pending::{Pending, verdict_of};
use super::place::Place;
use super::refusal::REQUEST_ID;
use super::relay::Relay;
use super::running::Running;
use crate::clock;

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum Sent {
    /// The server sent an answer.
    Answer(Response<Answer>),
    /// The sidecar rejected the attempt. Carries its `Retry-After`, in seconds.
    Verdict(Verdict, Option<u32>),
    /// The request was not sent.
    Unsent(String),
    /// The attempt may be running or have run.
    Lost(String),
    /// Like [`Sent::Lost`], because the deadline passed.
    Late,
    /// Like [`Sent::Lost`], because the router is stopping.
    Stopping,
}

/// Sends a request and waits for the response head.
pub(crate) async fn send(core: &Arc<Core>, call: &Call, mut place: Place) -> Sent {
    let link = Arc::clone(&place.link);
    let mut sender = match link.data.sender().await {
        Ok(sender) => sender,
        Err(error) => return Sent::Unsent(error.to_string()),
    };
    let grant = place.take();
    let until = clock::now().saturating_add(core.settings.retention_ms);
    let request = request(call, &link, &call.ticket(grant, until));
    let running = Running::begin(core, &link, call);
    log!(core.logger, Event::Routed,
        "request" => call.attempt.request_id(),
        "attempt" => call.attempt.number,
        "customer" => call.customer.0,
        "class" => call.class.as_str(),
        "server" => &link.server.name,
        "granted" => grant.is_some(),
        "waited_ms" => clock::now().saturating_sub(call.since));
    let mut pending: Pending = Box::pin(sender.try_send_request(request));
    tokio::select! {
        biased;
        result = &mut pending => read(core, call, running, result),
        () = link.wait_unresponsive() => {
            running.lose();
            late::watch(core, &link, call, pending);
            Sent::Lost("server is silent".to_owned())
        }
        () = tokio::time::sleep_until(clock::instant(call.deadline)) => {
            running.lose();
            late::watch(core, &link, call, pending);
            Sent::Late
        }
        () = core.stop.cut.cancelled() => {
            running.lose();
            Sent::Stopping
        }
    }
}

fn request(call: &Call, link: &Link, ticket: &Ticket) -> Request<Full<Bytes>> {
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

fn read(
    core: &Core,
    call: &Call,
    running: Running,
    result: Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>,
) -> Sent {
    let response = match result {
        Ok(response) => response,
        Err(error) if error.message().is_some() => {
            running.not_run();
            return Sent::Unsent(error.error().to_string());
        }
        Err(error) => {
            running.lose();
            return Sent::Lost(error.error().to_string());
        }
    };
    let Some(verdict) = verdict_of(&response) else {
        return Sent::Answer(relay(core, call, running, response));
    };
    if verdict.is_not_run() {
        running.not_run();
    } else {
        running.lose();
    }
    Sent::Verdict(verdict, retry_after(&response))
}

fn retry_after(response: &Response<Incoming>) -> Option<u32> {
    let value = response.headers().get(hyper::header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}

fn relay(
    core: &Core,
    call: &Call,
    running: Running,
    response: Response<Incoming>,
) -> Response<Answer> {
    let (mut parts, body) = response.into_parts();
    header::back(&mut parts.headers);
    let relay = Relay::new(core.stalls.watch(body), running);
    let mut response = Response::new(Answer::Relay(relay));
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    if let Ok(id) = HeaderValue::from_str(&call.attempt.request_id()) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    response
}
