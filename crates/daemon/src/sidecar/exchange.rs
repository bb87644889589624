//! Forwarding of one request to the backend.

use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Error;
use mulberryyoke_decide::admission::Termination;
use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::{Verdict, verdict};
use tokio::sync::{mpsc, oneshot};

use super::channel_body;
use super::forwarder::Forwarder;
use super::hop_by_hop;
use super::response::{self, Body};
use super::slot::Slot;

/// Frames buffered between the backend and the router.
const FRAME_BUFFER: usize = 4;

/// Forwards a request to the backend in a separate task and returns the response.
/// If the router disconnects, the request is cancelled, unless it has a key: it
/// then runs to its end, so that a retry with the key gets the complete response.
pub(crate) async fn spawn(slot: Slot, request: Request<Incoming>) -> Response<Body> {
    let (sender, receiver) = oneshot::channel();
    let tasks = slot.shared.tasks.clone();
    tasks.spawn(run(slot, request, sender));
    let interrupted = |_| response::reject(Verdict::Interrupted, None);
    receiver.await.unwrap_or_else(interrupted)
}

async fn run(slot: Slot, request: Request<Incoming>, mut sender: oneshot::Sender<Response<Body>>) {
    let shared = slot.shared.clone();
    let has_key = slot.ticket.key.is_some();
    let sent = shared.backend.send(request, has_key);
    let sent = tokio::select! {
        sent = sent => sent,
        () = sender.closed(), if !has_key => return log_cancelled(&slot),
        () = shared.drain_expired.cancelled() => return,
    };
    match sent {
        Ok(response) => forward(slot, response, sender).await,
        Err(error) => {
            let _ = sender.send(fail(slot, &error));
        }
    }
}

fn log_cancelled(slot: &Slot) {
    log!(slot.shared.logger, Event::Cancelled,
        "request" => slot.ticket.attempt.request_id(), "attempt" => slot.ticket.attempt.number);
}

fn fail(slot: Slot, error: &Error) -> Response<Body> {
    let sent = !error.is_connect();
    log!(slot.shared.logger, Event::BackendFailed,
        "request" => slot.ticket.attempt.request_id(), "attempt" => slot.ticket.attempt.number,
        "sent" => sent, "error" => error.to_string());
    if sent {
        return response::reject(Verdict::Interrupted, None);
    }
    slot.shared.mark_backend_down();
    slot.end(Termination::Unsent);
    response::reject(Verdict::Unreachable, None)
}

async fn forward(
    slot: Slot,
    response: Response<Incoming>,
    sender: oneshot::Sender<Response<Body>>,
) {
    let (mut parts, body) = response.into_parts();
    hop_by_hop::strip(&mut parts.headers);
    parts.headers.remove(verdict::HEADER);
    let (messages, received) = mpsc::channel(FRAME_BUFFER);
    let forwarder = Forwarder::new(slot, &parts, body, messages);
    let _ = sender.send(Response::from_parts(parts, channel_body::body(received)));
    forwarder.run().await;
}
