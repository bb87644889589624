//! Requests that wait for room at the servers.
//!
//! A waiting request has not been sent anywhere. A single task offers the requests to the normal
//! admission, in the order of [`mulberryyoke_decide::waiting`], and hands the result to the task of
//! the caller's connection.

mod attempt;
mod ending;
mod place;
mod queues;
mod waiter;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::Rejection;
use mulberryyoke_decide::waiting::{self, Entry, Queue, Reserved};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{CustomerId, PoolId, saturating_u32};
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;

use self::ending::Ending;
use self::place::Place;
use self::queues::Queues;
use self::waiter::Waiter;
use crate::backend::InFlight;
use crate::call::Call;
use crate::core::Core;
use crate::denial::Denial;
use crate::eligibility::Eligibility;
use crate::refusal::Refusal;
use crate::{balance, clock};

/// Memory that a request takes beyond its body, in bytes.
const HEAD_BYTES: usize = 4 << 10;

/// Longest time between two passes over the queues, in milliseconds. Waits at servers also become
/// shorter without any event.
const TICK_MS: u64 = 10;

/// Shortest time between two passes.
const MIN_INTERVAL: Duration = Duration::from_millis(2);

/// Longest rest after a pass, which may have taken long only because the process was suspended.
const MAX_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two passes, as a multiple of the time that the first took. It bounds the processor
/// time spent on requests that are rejected again.
const REST_FACTOR: u32 = 20;

/// Time after which a request whose time is up no longer relies on the task that serves the queues,
/// in milliseconds.
const OVERDUE_MS: u64 = 50;

/// Waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    queues: Mutex<Queues>,
    /// Number of waiting requests that need a version. Without any, requests that arrive take no
    /// lock.
    bound_to_version: AtomicUsize,
}

impl Waiting {
    /// Publishes the lengths of the queues after a change.
    fn publish(&self, core: &Core, queues: &Queues) {
        core.registry.room.set_waiting(queues.len());
        let bound_to_version = queues.bound_to_version();
        self.bound_to_version
            .store(bound_to_version, Ordering::Relaxed);
    }

    /// Returns the number of waiting requests of each pool that has had any.
    pub(crate) fn counts(&self) -> Vec<(PoolId, usize)> {
        let queues = self.queues.lock();
        let by_pool = queues.by_pool.iter();
        by_pool.map(|(&pool, queue)| (pool, queue.len())).collect()
    }
}

/// Waits until the request is assigned to a server. Returns the refusal if it may not wait, or when
/// it is not admitted in time or the gateway shuts down.
pub(crate) async fn wait(
    core: &Arc<Core>,
    call: &Arc<Call>,
    denial: Denial,
    eligible: Eligibility<'_>,
) -> Result<InFlight, Refusal> {
    let Some(mut place) = enter(core, call, denial, eligible) else {
        return Err(balance::refuse(core, call, denial));
    };
    let overdue = clock::wait_until(place.until + OVERDUE_MS);
    let ending = tokio::select! {
        biased;
        () = core.shutdown.refuse.cancelled() => Ending::Stopping,
        ending = place.ending() => ending,
        () = overdue => Ending::Refused(denial),
    };
    place.leave(&ending);
    match ending {
        Ending::Sent(in_flight) => Ok(in_flight),
        Ending::Refused(denial) | Ending::Late(denial) | Ending::Displaced(denial) => {
            Err(balance::refuse(core, call, denial))
        }
        Ending::Stopping => Err(Refusal::Stopping),
    }
}

/// Returns the versions whose servers are not to be taken from waiting requests that come before a
/// new one of the caller's customer.
pub(crate) fn reserved(core: &Core, call: &Call) -> Reserved {
    if core.waiting.bound_to_version.load(Ordering::Relaxed) == 0 {
        return Reserved::new();
    }
    let queues = core.waiting.queues.lock();
    let (Some(customer), Some(queue)) = (&call.customer, queues.by_pool.get(&call.pool)) else {
        return Reserved::new();
    };
    queue.reserved(customer.id, |customer| standing(core, customer))
}

/// Puts a rejected request into the queue of its pool; `None` if it may not wait.
fn enter(
    core: &Arc<Core>,
    call: &Arc<Call>,
    denial: Denial,
    eligible: Eligibility<'_>,
) -> Option<Place> {
    let Denial::Rejected { rejection, usage } = denial else {
        return None;
    };
    let customer = call.customer.as_ref().filter(|_| is_enabled(core, call))?;
    let now_ms = clock::now_ms();
    let until = waiting::until(
        &rejection,
        balance::objective(call),
        elapsed_ms(call),
        call.deadline_ms,
        now_ms,
    )?;
    let (sender, receiver) = oneshot::channel();
    let entry = Entry {
        customer: customer.id,
        priority: customer.priority.unwrap_or(call.route.priority),
        is_resumption: call.is_resumption(),
        version: eligible.version,
        deadline: call.deadline_ms,
        until,
        tokens: call.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
        bytes: call.body.bytes().len() + HEAD_BYTES,
        payload: Waiter::new(call, denial, eligible, sender),
    };
    let mut queues = core.waiting.queues.lock();
    let limits = queues.limits(call.pool);
    let queue = queues.by_pool.entry(call.pool).or_default();
    let (key, removed) = queue.push(entry, limits, |customer| standing(core, customer));
    let length = queue.len();
    for entry in removed {
        let denial = entry.payload.denial;
        entry.payload.end(core, Ending::Displaced(denial));
    }
    core.waiting.publish(core, &queues);
    drop(queues);
    log_start(core, call, &rejection, usage, (until - now_ms, length));
    // Wakes the task that serves the queues, which also ends the wait in time.
    core.registry.room.notify();
    Some(Place::new(core, call, (key, until), receiver))
}

/// Whether the request may wait: a prompt of a customer with a share, for a model.
fn is_enabled(core: &Core, call: &Call) -> bool {
    let config = core.view.config();
    let is_configured = config.is_some_and(|config| {
        let is_model = config
            .pool(call.pool)
            .is_some_and(|pool| pool.model.is_some());
        is_model && config.limits().tokens_per_s.is_some()
    });
    call.prompt.is_some() && is_configured && call.route.objective_ms > 0
}

fn log_start(
    core: &Core,
    call: &Call,
    rejection: &Rejection,
    usage: Usage,
    (longest_ms, waiting): (u64, usize),
) {
    let backend = core.registry.get_by_id(rejection.choice.server);
    let cause = if usage.is_over_share() {
        "over_share"
    } else {
        "busy"
    };
    log!(core.logger, Event::WaitStarted,
        "request" => &call.id,
        "customer" => call.customer_name(),
        "cause" => cause,
        "server" => backend.as_ref().map(|backend| &*backend.server.name),
        "wait_ms" => saturating_u32(rejection.choice.wait_ms),
        "read_ms" => saturating_u32(rejection.choice.prefill_ms),
        "allowed_ms" => saturating_u32(rejection.allowed_ms),
        "expected_ms" => saturating_u32(rejection.admission_ms),
        "of_portion" => saturating_u32(usage.of_portion * 100.0),
        "longest_ms" => longest_ms,
        "waiting" => waiting);
}

/// Serves the queues until the gateway terminates.
pub(crate) async fn run(core: Arc<Core>) {
    loop {
        let due_ms = serve(&core);
        tokio::select! {
            () = core.shutdown.terminate.cancelled() => return,
            () = wait_until_opt(due_ms) => {}
            () = core.registry.room.changed() => {}
        }
        let next_pass = core.waiting.queues.lock().next_pass;
        clock::sleep_until_opt(Some(next_pass.unwrap_or_else(Instant::now))).await;
    }
}

async fn wait_until_opt(at_ms: Option<u64>) {
    match at_ms {
        Some(at_ms) => clock::wait_until(at_ms).await,
        None => std::future::pending().await,
    }
}

/// Serves the queues if a server may have got room since they were last served, so that a request
/// that arrives does not take what others wait for.
pub(crate) fn serve_if_changed(core: &Core) {
    let room = &core.registry.room;
    let is_due = || {
        let next_pass = core.waiting.queues.lock().next_pass;
        next_pass.is_none_or(|next_pass| next_pass <= Instant::now())
    };
    if room.has_changed() && is_due() {
        serve(core);
    }
}

/// Sends or refuses the waiting requests for which that is possible now. Returns when to do so
/// again; `None` if no request waits.
fn serve(core: &Core) -> Option<u64> {
    let mut queues = core.waiting.queues.lock();
    let (started_at, now_ms) = (Instant::now(), clock::now_ms());
    core.registry.room.clear_change();
    for queue in queues.by_pool.values_mut() {
        for entry in queue.expire(now_ms) {
            let ending = attempt::run_last(core, &entry);
            entry.payload.end(core, ending);
        }
        let served = queue.serve(
            |customer| standing(core, customer),
            |entry, reserved| attempt::run(core, entry, reserved),
        );
        for (entry, ending) in served {
            entry.payload.end(core, ending);
        }
    }
    core.waiting.publish(core, &queues);
    let ended_at = Instant::now();
    let rest = (ended_at - started_at) * REST_FACTOR;
    queues.next_pass = Some(ended_at + rest.clamp(MIN_INTERVAL, MAX_INTERVAL));
    let expiries = queues.by_pool.values().filter_map(Queue::next_expiry);
    Some(expiries.min()?.min(now_ms + TICK_MS))
}

/// The customer's usage of its share.
fn standing(core: &Core, customer: CustomerId) -> f64 {
    core.shares.lock().usage(customer).of_portion
}

/// Time since the request was received, in milliseconds.
fn elapsed_ms(call: &Call) -> f64 {
    let elapsed_ms = clock::between_ms(call.received_at, Instant::now());
    f64::from(u32::try_from(elapsed_ms).unwrap_or(u32::MAX))
}
