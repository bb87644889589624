//! Facts for the choice of a server, and carrying it out.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mulberryyoke_decide::engine::{Candidate, Engine, shortlist};
use mulberryyoke_decide::plain;
use mulberryyoke_decide::pushback::retry_after_ms;
use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::{self, Objective, Rejection};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{CustomerId, PoolId, ServerId, saturating_u32};
use rand::RngExt;
use tokio::time::Instant;

use crate::backend::{Backend, InFlight};
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::refusal::Refusal;

/// Chooses a server and counts the request there. Servers in `tried` are left out.
/// One that `may_have_run` is not refused for what others have to do: that it has
/// not run can no longer be promised, and what it took would be lost. One that `is_apart` gets
/// a server without another such request.
pub(crate) fn place(
    core: &Core,
    call: &Call,
    tried: &[ServerId],
    may_have_run: bool,
    is_apart: bool,
) -> Result<InFlight, Refusal> {
    let running = core.registry.with_pool(call.pool, |servers| {
        let now = Instant::now();
        let (now_ms, is_in_touch) = (clock::now_ms(), core.view.is_fresh());
        let mut open: Vec<&Arc<Backend>> = servers
            .iter()
            .filter(|backend| backend.is_open() && !tried.contains(&backend.server.id))
            // A server that rests is idle, and would be the best choice for each request.
            .filter(|backend| backend.instance.wait_ms(now_ms) == 0)
            .filter(|backend| backend.cold.has_capacity(now_ms, is_in_touch))
            .collect();
        if open.is_empty() {
            return Err(rest_of(servers, now_ms).unwrap_or(Refusal::NoServer));
        }
        // What peers say of a server leaves it out while there are others: they may be wrong.
        prefer(&mut open, |backend| !backend.instance.is_avoided(now_ms));
        if is_apart {
            // If one ends, only one request under suspicion is named.
            prefer(&mut open, |backend| {
                backend.isolated_requests.load(Ordering::Relaxed) == 0
            });
        }
        if call.prompt.is_some() {
            let standing = standing(core, call, tried.is_empty());
            let standing = (!may_have_run).then_some(standing);
            return place_prompt(core, call, &open, standing, now);
        }
        let zone = &core.settings.load().zone;
        let candidates = open.iter().map(|backend| plain::Candidate {
            server: backend.server.id,
            requests: backend.engine.lock().requests(),
            is_same_zone: backend.server.zone == *zone,
            penalty_ms: backend.health.lock().penalty_ms(now),
        });
        let backend = named(&open, plain::choose(candidates))?;
        Ok(InFlight::start(backend, None))
    })?;
    if is_apart {
        return Ok(running.isolate());
    }
    Ok(running)
}

/// The refusal of a request of a pool in which every server that may get requests rests; `None`
/// if one does not.
pub(crate) fn resting(core: &Core, pool: PoolId) -> Option<Refusal> {
    let now_ms = clock::now_ms();
    core.registry
        .with_pool(pool, |servers| rest_of(servers, now_ms))
}

fn rest_of(servers: &[Arc<Backend>], now_ms: u64) -> Option<Refusal> {
    let open = servers.iter().filter(|backend| backend.is_open());
    let waits = open.map(|backend| backend.instance.wait_ms(now_ms));
    let first_ms = waits.min().filter(|wait_ms| *wait_ms > 0)?;
    Some(Refusal::Pushback(retry_after_ms(
        first_ms,
        rand::rng().random(),
    )))
}

/// Leaves out servers that are not preferred, if any are.
fn prefer(open: &mut Vec<&Arc<Backend>>, is_preferred: impl Fn(&Arc<Backend>) -> bool) {
    if open.iter().any(|backend| is_preferred(backend)) {
        open.retain(|backend| is_preferred(backend));
    }
}

/// The server of an identity among these.
fn named<'a>(
    open: &[&'a Arc<Backend>],
    server: Option<ServerId>,
) -> Result<&'a Arc<Backend>, Refusal> {
    let named = open
        .iter()
        .find(|backend| Some(backend.server.id) == server);
    named.copied().ok_or(Refusal::NoServer)
}

fn place_prompt(
    core: &Core,
    call: &Call,
    open: &[&Arc<Backend>],
    standing: Option<Usage>,
    now: Instant,
) -> Result<InFlight, Refusal> {
    let prompt = call.prompt.as_ref().ok_or(Refusal::NoServer)?;
    let engines: Vec<_> = open.iter().map(|backend| backend.engine()).collect();
    let candidates = open.iter().zip(&engines).map(|(backend, engine)| {
        let engine: &Engine = engine;
        Candidate {
            server: backend.server.id,
            engine,
            penalty_ms: backend.health.lock().penalty_ms(now),
        }
    });
    let candidates = shortlist(prompt, candidates, rand::rng().random());
    let aim = Objective {
        first_token_ms: as_f64(call.route.objective_ms),
        max_pause_ms: call.route.max_gap_ms.map_or(f64::INFINITY, as_f64),
    };
    let placed = shed::admit(
        prompt,
        candidates.iter().copied(),
        aim,
        standing,
        clock::now_ms(),
    );
    let placed = placed.ok_or(Refusal::NoServer)?;
    drop(candidates);
    drop(engines);
    let choice = match placed {
        Ok(choice) => choice,
        Err(held) => {
            let standing = standing.unwrap_or_default();
            let backend = named(open, Some(held.choice.server))?;
            return Err(refuse(core, call, &held, standing, &backend.server.name));
        }
    };
    let backend = named(open, Some(choice.server))?;
    let own = prompt.tokens - prompt.shared_tokens();
    let is_new = choice.uncached > own;
    if standing.is_some() {
        charge(call, |customer, tokens| {
            core.shares.lock().record_grant(customer, tokens);
        });
    }
    core.exchange.record_prompt(choice.server, prompt, is_new);
    // What other nodes have servers read is not told; each is taken to do as this one does.
    let peers = u32::try_from(core.exchange.gateway_count() - 1).unwrap_or(u32::MAX);
    let read = choice.uncached.saturating_mul(peers);
    backend.engine.lock().cache.record_prefill(read);
    Ok(InFlight::start(backend, Some(prompt)))
}

/// Takes back what a customer was charged for a request that its server has not run.
pub(crate) fn take_back(core: &Core, call: &Call) {
    charge(call, |customer, tokens| {
        core.shares.lock().refund(customer, tokens);
    });
}

/// What a request costs its customer, if it has both a prompt and a customer.
fn charge(call: &Call, to: impl FnOnce(CustomerId, u32)) {
    if let (Some(customer), Some(prompt)) = (&call.customer, &call.prompt) {
        to(customer.id, prompt.cost());
    }
}

/// What the customer was given, beside what it may have; a new request counts as asked.
fn standing(core: &Core, call: &Call, is_new: bool) -> Usage {
    let (Some(customer), Some(prompt)) = (&call.customer, &call.prompt) else {
        return Usage::default();
    };
    let mut shares = core.shares.lock();
    if is_new {
        shares.record_request(customer.id, prompt.cost());
    }
    shares.usage(customer.id)
}

/// The refusal of a prompt that no server can take in time; `server` is the best one's name.
fn refuse(core: &Core, call: &Call, held: &Rejection, standing: Usage, server: &str) -> Refusal {
    let choice = &held.choice;
    log!(core.logger, Event::HeldBack,
        "request" => &call.id,
        "customer" => call.customer_name(),
        "server" => server,
        "wait_ms" => saturating_u32(choice.wait_ms),
        "read_ms" => saturating_u32(choice.prefill_ms),
        "uncached" => choice.uncached,
        "again" => choice.recomputed,
        "allowed_ms" => saturating_u32(held.allowed_ms),
        "mean_wait_ms" => saturating_u32(choice.mean_wait_ms),
        "of_portion" => saturating_u32(standing.of_portion * 100.0),
        "of_given" => saturating_u32(standing.of_given * 100.0));
    let retry_ms = saturating_u32(held.retry_after_ms);
    if standing.of_portion > 1.0 {
        return Refusal::OverShare(retry_ms);
    }
    Refusal::Busy(retry_ms)
}

#[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
const fn as_f64(ms: u64) -> f64 {
    ms as f64
}
