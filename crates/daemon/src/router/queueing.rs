//! Queues requests until a server has a free slot.

use std::sync::Arc;

use hyper::StatusCode;
use mulberryyoke_decide::limiter::Decision;
use mulberryyoke_decide::queue::{Entry, EntryKey};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{CustomerId, ServerId};
use tokio::sync::oneshot;

use super::call::Call;
use super::core::Core;
use super::pool_queue::PoolQueue;
use super::queued_request::{QueuedRequest, Wakeup};
use super::refusal::Refusal;
use super::slot::Slot;
use crate::clock;

/// Removes a queued request from its queue on drop.
struct QueueGuard<'a> {
    core: &'a Core,
    queue: &'a PoolQueue,
    key: EntryKey,
    customer: CustomerId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.queue.remove(self.key).is_some() {
            let now = clock::now();
            self.core.limiter.lock().remove(self.customer, false, now);
        }
    }
}

/// Result of a wait that was not refused.
#[derive(Debug)]
pub(crate) enum WaitResult {
    /// A sidecar has granted a slot.
    Granted(Slot),
    /// The server to which the request is pinned is no longer its key's home.
    HomeChanged,
}

/// Queues the request until a sidecar grants it a slot. With `readmit`, the
/// request was queued before and is not subject to the queue limits. `home_changed`
/// ends the wait of a request pinned to its key's home server.
pub(crate) async fn wait_for_slot(
    core: &Arc<Core>,
    call: &Call,
    pinned: Option<ServerId>,
    readmit: bool,
    home_changed: impl Future<Output = Result<WaitResult, Refusal>>,
) -> Result<WaitResult, Refusal> {
    admit(core, call, readmit)?;
    let queue = core.queues.get(call.pool);
    let (wakeup, mut woken) = oneshot::channel();
    let request = QueuedRequest {
        attempt: call.attempt,
        prefix: call.prompt_prefix,
        wakeup,
    };
    let mut entry = Entry::new(
        call.customer,
        call.class,
        call.deadline,
        call.received_at,
        request,
    );
    entry.cost = call.cost;
    entry.pinned_server = pinned;
    let _guard = QueueGuard {
        core,
        queue: &queue,
        key: queue.push(entry),
        customer: call.customer,
    };
    log!(core.logger, Event::Queued,
        "request" => call.attempt.request_id(),
        "customer" => call.customer.0,
        "class" => call.class.as_str(),
        "pool" => call.pool.0);
    tokio::select! {
        biased;
        result = &mut woken => match result {
            Ok(Wakeup::Granted(slot)) => Ok(WaitResult::Granted(slot)),
            Ok(Wakeup::Displaced) | Err(_) => Err(displaced(core, call)),
        },
        () = tokio::time::sleep_until(clock::instant(call.deadline)) => Err(deadline_passed(core, call)),
        () = core.shutdown.refuse_queued.cancelled() => Err(stopping()),
        result = home_changed => result,
    }
}

/// Admits the request to the queue, or refuses it.
fn admit(core: &Core, call: &Call, readmit: bool) -> Result<(), Refusal> {
    let mut limiter = core.limiter.lock();
    if readmit {
        limiter.readmit(call.customer, call.share);
        return Ok(());
    }
    let decision = limiter.admit(call.customer, call.share, call.queue_limit);
    drop(limiter);
    match decision {
        Decision::Enqueue => Ok(()),
        Decision::Displace(customer) => {
            displace(core, customer);
            Ok(())
        }
        Decision::CustomerFull => Err(queue_full(core, call)),
        Decision::RouterFull => Err(router_full(core, call)),
    }
}

/// Refuses the customer's last request in one of the pools' queues.
fn displace(core: &Core, customer: CustomerId) {
    for queue in core.queues.all() {
        let Some(entry) = queue.pop_last(customer) else {
            continue;
        };
        core.limiter.lock().remove(customer, false, clock::now());
        // The caller may have disconnected.
        let _ = entry.payload.wakeup.send(Wakeup::Displaced);
        return;
    }
}

fn retry_after(core: &Core, call: &Call) -> u32 {
    core.limiter.lock().retry_after(call.customer, clock::now())
}

fn queue_full(core: &Core, call: &Call) -> Refusal {
    let message = "too many requests of this customer wait here";
    Refusal::new(StatusCode::TOO_MANY_REQUESTS, "queue_full", message)
        .retry_after(retry_after(core, call))
}

fn router_full(core: &Core, call: &Call) -> Refusal {
    let message = "too many requests wait here, and this customer has the most for its share";
    Refusal::new(StatusCode::TOO_MANY_REQUESTS, "router_full", message)
        .retry_after(retry_after(core, call))
}

fn displaced(core: &Core, call: &Call) -> Refusal {
    let message = "made room for a customer with fewer requests waiting";
    Refusal::new(StatusCode::TOO_MANY_REQUESTS, "displaced", message)
        .retry_after(retry_after(core, call))
}

/// The deadline passed while the request was queued.
pub(crate) fn deadline_passed(core: &Core, call: &Call) -> Refusal {
    let message = "the deadline passed before a server had a free slot";
    Refusal::new(StatusCode::GATEWAY_TIMEOUT, "deadline_passed", message)
        .retry_after(retry_after(core, call))
}

/// The router is stopping.
pub(crate) fn stopping() -> Refusal {
    let message = "this router is stopping; another one will answer";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", message).retry_after(1)
}
