//! One request passed to the backend.

use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Error;
use mulberryyoke_decide::admission::Termination;
use mulberryyoke_event::{Event, log};
use mulberryyoke_wire::{Verdict, verdict};
use tokio::sync::{mpsc, oneshot};

use super::answer::{self, Body};
use super::header;
use super::pump::Pump;
use super::relay;
use super::slot::Slot;

/// Frames of an answer kept between the backend and a slow router.
const FRAMES: usize = 4;

/// Passes a request to the backend in a task of its own and returns its answer.
/// When the router hangs up, the request is cancelled, unless it has a key: then
/// it runs on, so that a repeat of the key gets the whole answer.
pub(crate) async fn spawn(slot: Slot, request: Request<Incoming>) -> Response<Body> {
    let (head, answered) = oneshot::channel();
    let tasks = slot.shared.tasks.clone();
    tasks.spawn(run(slot, request, head));
    let broken = |_| answer::refuse(Verdict::Broken, None);
    answered.await.unwrap_or_else(broken)
}

async fn run(slot: Slot, request: Request<Incoming>, mut head: oneshot::Sender<Response<Body>>) {
    let shared = slot.shared.clone();
    let once = slot.ticket.key.is_some();
    let sent = shared.backend.send(request, once);
    let sent = tokio::select! {
        sent = sent => sent,
        () = head.closed(), if !once => return cancelled(&slot),
        () = shared.cut.cancelled() => return,
    };
    match sent {
        Ok(response) => pass(slot, response, head).await,
        Err(error) => {
            let _ = head.send(fail(slot, &error));
        }
    }
}

fn cancelled(slot: &Slot) {
    log!(slot.shared.logger, Event::Cancelled,
        "request" => slot.ticket.attempt.request_id(), "attempt" => slot.ticket.attempt.number);
}

fn fail(slot: Slot, error: &Error) -> Response<Body> {
    let sent = !error.is_connect();
    log!(slot.shared.logger, Event::BackendFailed,
        "request" => slot.ticket.attempt.request_id(), "attempt" => slot.ticket.attempt.number,
        "sent" => sent, "error" => error.to_string());
    if sent {
        return answer::refuse(Verdict::Broken, None);
    }
    slot.shared.found_down();
    slot.end(Termination::Unsent);
    answer::refuse(Verdict::Unreachable, None)
}

async fn pass(slot: Slot, response: Response<Incoming>, head: oneshot::Sender<Response<Body>>) {
    let (mut parts, body) = response.into_parts();
    header::strip(&mut parts.headers);
    parts.headers.remove(verdict::HEADER);
    let (frames, pieces) = mpsc::channel(FRAMES);
    let pump = Pump::open(slot, &parts, body, frames);
    let _ = head.send(Response::from_parts(parts, relay::body(pieces)));
    pump.run().await;
}
