//! Refusals of requests that no server can run now.

use std::sync::Arc;

use mulberryyoke_decide::pushback::retry_after_ms;
use mulberryyoke_decide::retry_after;
use mulberryyoke_decide::shed::Rejection;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{PoolId, saturating_u32};
use rand::RngExt;

use super::is_usable;
use crate::backend::Backend;
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::denial::Denial;
use crate::refusal::Refusal;

/// Returns the refusal of a request that is not sent. Logs the reason if it is load.
pub(crate) fn refuse(core: &Core, call: &Call, denial: Denial) -> Refusal {
    let (rejection, usage) = match denial {
        Denial::Refused(refusal) => return refusal,
        Denial::Rejected { rejection, usage } => (rejection, usage),
    };
    let choice = &rejection.choice;
    let backend = core.registry.get_by_id(choice.server);
    if rejection.lacks_room() {
        return refuse_without_room(core, call, &rejection, backend.as_deref());
    }
    log!(core.logger, Event::HeldBack,
        "request" => &call.id,
        "customer" => call.customer_name(),
        "server" => backend.as_ref().map(|backend| &*backend.server.name),
        "wait_ms" => saturating_u32(choice.wait_ms),
        "read_ms" => saturating_u32(choice.prefill_ms),
        "uncached" => choice.uncached,
        "again" => choice.recomputed,
        "allowed_ms" => saturating_u32(rejection.allowed_ms),
        "mean_wait_ms" => saturating_u32(choice.mean_wait_ms),
        "of_portion" => saturating_u32(usage.of_portion * 100.0),
        "of_given" => saturating_u32(usage.of_given * 100.0));
    // Not spread: the expected latencies differ from request to request, and a later retry would miss
    // the objective.
    let retry_after_ms = retry_after::spread(rejection.retry_after_ms, call.remaining_ms(), 0.0);
    if usage.is_over_share() {
        return Refusal::OverShare(retry_after_ms);
    }
    Refusal::Busy(retry_after_ms)
}

/// Logs the rejection of a prompt that no server has memory for and returns its refusal; `first` is
/// the server that has it first.
fn refuse_without_room(
    core: &Core,
    call: &Call,
    rejection: &Rejection,
    first: Option<&Backend>,
) -> Refusal {
    let memory = first.map(|first| {
        let engine = first.engine();
        let prompt = call.prompt.as_ref();
        let reservation = prompt.map(|prompt| engine.footprint.reservation(prompt));
        (
            reservation.unwrap_or_default().tokens,
            engine.memory.free(),
            engine.memory.taken(),
        )
    });
    let room_ms = saturating_u32(rejection.retry_after_ms);
    log!(core.logger, Event::NoRoom,
        "request" => &call.id,
        "customer" => call.customer_name(),
        "server" => first.map(|first| &*first.server.name),
        "tokens" => memory.map(|(needed, _, _)| needed),
        "free" => memory.map(|(_, free, _)| free),
        "taken" => memory.map(|(_, _, taken)| taken),
        "room_ms" => (!rejection.is_too_large()).then_some(room_ms));
    if rejection.is_too_large() {
        return Refusal::TooLarge;
    }
    metrics::counter!("no_room_total").increment(1);
    Refusal::Busy(spread(call, rejection.retry_after_ms))
}

/// Returns the refusal while every open server of the pool asks for pushback, `None` otherwise.
pub(crate) fn pool_pushback(core: &Core, pool: PoolId) -> Option<Refusal> {
    let now_ms = clock::now_ms();
    core.registry
        .with_pool(pool, |servers| pushback(servers, now_ms))
}

pub(super) fn pushback(servers: &[Arc<Backend>], now_ms: u64) -> Option<Refusal> {
    let open = servers.iter().filter(|backend| backend.is_open());
    let waits = open.map(|backend| backend.instance.wait_ms(now_ms));
    let shortest_ms = waits.min().filter(|wait_ms| *wait_ms > 0)?;
    Some(Refusal::Pushback(retry_after_ms(
        shortest_ms,
        rand::rng().random(),
    )))
}

/// Returns the refusal of a request for which no server is left.
pub(super) fn no_server(core: &Core, call: &Call, servers: &[Arc<Backend>]) -> Refusal {
    let (now_ms, is_view_fresh) = (clock::now_ms(), core.view.is_fresh());
    let mut servers = servers.iter();
    let since = if servers.any(|backend| is_usable(backend, now_ms, is_view_fresh)) {
        // All servers that can be used have been tried.
        now_ms
    } else {
        core.outages.start(call.pool, now_ms)
    };
    let expected_ms = retry_after::outage_ms(since, now_ms);
    Refusal::NoServer(spread(call, expected_ms))
}

/// Returns the retry delay that the caller is told instead of `expected_ms`, in milliseconds.
fn spread(call: &Call, expected_ms: f64) -> u32 {
    retry_after::spread(expected_ms, call.remaining_ms(), rand::rng().random())
}
