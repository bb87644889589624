//! Waiting for a server.

use std::sync::Arc;

use hyper::StatusCode;
use mulberryyoke_decide::limiter::Decision;
use mulberryyoke_decide::queue::{Entry, EntryKey};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{CustomerId, ServerId};
use tokio::sync::oneshot;

use super::call::Call;
use super::core::Core;
use super::place::Place;
use super::refusal::Refusal;
use super::room::Room;
use super::waiter::{Turn, Waiter};
use crate::clock;

/// A request in its room; it leaves when this is dropped.
struct Stay<'a> {
    core: &'a Core,
    room: &'a Room,
    key: EntryKey,
    customer: CustomerId,
}

impl Drop for Stay<'_> {
    fn drop(&mut self) {
        if self.room.remove(self.key).is_some() {
            let now = clock::now();
            self.core.limit.lock().remove(self.customer, false, now);
        }
    }
}

/// What ended a wait without a refusal.
#[derive(Debug)]
pub(crate) enum Waited {
    /// A server has a slot.
    Place(Place),
    /// The only server that may run it has changed.
    Moved,
}

/// Waits until a server has a slot for the request. `again` tells whether it
/// has waited before, and then is not refused for want of room. A request
/// that only one server may run gives up when `gone` says why.
pub(crate) async fn wait(
    core: &Arc<Core>,
    call: &Call,
    bound: Option<ServerId>,
    again: bool,
    gone: impl Future<Output = Result<Waited, Refusal>>,
) -> Result<Waited, Refusal> {
    enter(core, call, again)?;
    let room = core.rooms.get(call.pool);
    let (turn, mut taken) = oneshot::channel();
    let waiter = Waiter {
        attempt: call.attempt,
        prefix: call.prefix,
        turn,
    };
    let mut waiting = Entry::new(call.customer, call.class, call.deadline, call.since, waiter);
    waiting.cost = call.cost;
    waiting.pinned_server = bound;
    let _stay = Stay {
        core,
        room: &room,
        key: room.push(waiting),
        customer: call.customer,
    };
    log!(core.logger, Event::Queued,
        "request" => call.attempt.request_id(),
        "customer" => call.customer.0,
        "class" => call.class.as_str(),
        "pool" => call.pool.0);
    tokio::select! {
        biased;
        turn = &mut taken => match turn {
            Ok(Turn::Go(place)) => Ok(Waited::Place(place)),
            Ok(Turn::Displaced) | Err(_) => Err(displaced(core, call)),
        },
        () = tokio::time::sleep_until(clock::instant(call.deadline)) => Err(late(core, call)),
        () = core.stop.clear.cancelled() => Err(stopping()),
        gone = gone => gone,
    }
}

/// Counts the request as waiting, or refuses it.
fn enter(core: &Core, call: &Call, again: bool) -> Result<(), Refusal> {
    let mut limit = core.limit.lock();
    if again {
        limit.readmit(call.customer, call.share);
        return Ok(());
    }
    let decision = limit.admit(call.customer, call.share, call.queue);
    drop(limit);
    match decision {
        Decision::Enqueue => Ok(()),
        Decision::Displace(customer) => {
            displace(core, customer);
            Ok(())
        }
        Decision::CustomerFull => Err(full(core, call)),
        Decision::RouterFull => Err(crowded(core, call)),
    }
}

/// Refuses the request of a customer that would go last of all it has here.
fn displace(core: &Core, customer: CustomerId) {
    for room in core.rooms.all() {
        let Some(waiting) = room.displace(customer) else {
            continue;
        };
        core.limit.lock().remove(customer, false, clock::now());
        // A caller who has just left needs no answer.
        let _ = waiting.payload.turn.send(Turn::Displaced);
        return;
    }
}

fn come_back(core: &Core, call: &Call) -> u32 {
    core.limit.lock().retry_after(call.customer, clock::now())
}

/// The customer has as much waiting as it may.
pub(crate) fn full(core: &Core, call: &Call) -> Refusal {
    let message = "too many requests of this customer wait here";
    Refusal::new(StatusCode::TOO_MANY_REQUESTS, "queue_full", message)
        .retry_after(come_back(core, call))
}

fn crowded(core: &Core, call: &Call) -> Refusal {
    let message = "too many requests wait here, and this customer has the most for its share";
    Refusal::new(StatusCode::TOO_MANY_REQUESTS, "router_full", message)
        .retry_after(come_back(core, call))
}

fn displaced(core: &Core, call: &Call) -> Refusal {
    let message = "made room for a customer with fewer requests waiting";
    Refusal::new(StatusCode::TOO_MANY_REQUESTS, "displaced", message)
        .retry_after(come_back(core, call))
}

/// The request's deadline passed while it waited.
pub(crate) fn late(core: &Core, call: &Call) -> Refusal {
    let message = "the deadline passed before a server had a free slot";
    Refusal::new(StatusCode::GATEWAY_TIMEOUT, "deadline_passed", message)
        .retry_after(come_back(core, call))
}

/// The router stops.
pub(crate) fn stopping() -> Refusal {
    let message = "this router is stopping; another one will answer";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", message).retry_after(1)
}
