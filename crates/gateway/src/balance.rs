//! Server selection and admission of requests.

mod refuse;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mulberryyoke_decide::engine::{Candidate, Engine, shortlist};
use mulberryyoke_decide::plain;
use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::{self, Objective};
use mulberryyoke_model::{CustomerId, PoolId, ServerId};
use rand::RngExt;
use tokio::time::Instant;

use self::refuse::{no_server, pushback};
pub(crate) use self::refuse::{pool_pushback, refuse};
use crate::backend::{Backend, Fetch, InFlight};
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::denial::Denial;
use crate::eligibility::Eligibility;
use crate::quarantine;
use crate::refusal::Refusal;

/// Time to the next event of a resumed stream that is acceptable, as a multiple of the objective for
/// the first: half of the time after which callers give up.
const RESUMPTION_OBJECTIVE: f64 = 2.0;

/// Selects one of the eligible servers and counts the request there. A request that
/// `may_have_run` is not refused because of load: such a refusal states that the request has not
/// run. One that `is_isolated` gets a server without other isolated suspects if there is one.
pub(crate) fn assign(
    core: &Core,
    call: &Call,
    eligible: Eligibility<'_>,
    may_have_run: bool,
    is_isolated: bool,
) -> Result<InFlight, Denial> {
    let is_new = eligible.tried.is_empty();
    select(core, call, eligible, is_new, may_have_run, is_isolated)
}

/// As [`assign`], for a request that was rejected because of load and has waited since. It is
/// not recorded as requested again.
pub(crate) fn assign_waiting(
    core: &Core,
    call: &Call,
    eligible: Eligibility<'_>,
) -> Result<InFlight, Denial> {
    select(core, call, eligible, false, false, false)
}

fn select(
    core: &Core,
    call: &Call,
    eligible: Eligibility<'_>,
    is_new: bool,
    may_have_run: bool,
    is_isolated: bool,
) -> Result<InFlight, Denial> {
    let in_flight = with_servers(core, call.pool, eligible, |servers| {
        let now = Instant::now();
        let (now_ms, is_view_fresh) = (clock::now_ms(), core.view.is_fresh());
        let usable = core.streams.usable(call);
        let may_begin_at = |version| {
            let usable = usable.as_ref();
            usable.is_none_or(|versions| versions.contains(version))
        };
        let mut open: Vec<&Arc<Backend>> = servers
            .iter()
            .filter(|backend| eligible.allows(&backend.server))
            .filter(|backend| may_begin_at(&backend.server.version))
            .filter(|backend| is_usable(backend, now_ms, is_view_fresh))
            .collect();
        let is_left = |backend: &Arc<Backend>| {
            !backend.is_closed() && eligible.allows_version_of(&backend.server)
        };
        if !servers.iter().any(is_left) {
            check_versions(core, call, eligible, servers)?;
        }
        if open.is_empty() {
            let refusal = pushback(servers, now_ms);
            let refusal = refusal.unwrap_or_else(|| no_server(core, call, servers));
            return Err(Denial::Refused(refusal));
        }
        // Announcements relayed by peers may be wrong, so they only lower a server's priority.
        prefer(&mut open, |backend| !backend.instance.is_avoided(now_ms));
        if !eligible.reserved.is_empty() {
            let reserved = eligible.reserved;
            prefer(&mut open, |backend| {
                !reserved.contains(&backend.server.version)
            });
        }
        if is_isolated {
            // A crash then implicates a single suspect.
            prefer(&mut open, |backend| {
                backend.isolated_requests.load(Ordering::Relaxed) == 0
            });
        }
        if call.prompt.is_some() {
            let usage = usage(core, call, is_new);
            let usage = (!may_have_run).then_some(usage);
            return assign_prompt(core, call, &open, usage, now);
        }
        let zone = &core.settings.load().zone;
        // Gateways that know of the same load would otherwise all choose the first server.
        let first = rand::rng().random_range(0..open.len());
        open.rotate_left(first);
        let service = open
            .first()
            .map(|backend| backend.pool_stats.lock().service());
        let candidates = open.iter().map(|backend| {
            let engine = backend.engine();
            let (requests, slots) = backend.occupancy(&engine, now_ms);
            plain::Candidate {
                server: backend.server.id,
                requests,
                slots,
                slowdown: engine.speed.slowdown(now_ms),
                is_same_zone: backend.server.zone == *zone,
                penalty_ms: backend.health.lock().penalty_ms(now),
            }
        });
        let chosen = plain::choose(candidates, service.unwrap_or_default());
        let backend = find_server(&open, chosen)?;
        let is_stream = call.route.kind.is_stream();
        Ok(InFlight::start(backend, None, None, is_stream))
    })?;
    if is_isolated {
        return Ok(in_flight.isolate());
    }
    Ok(in_flight)
}

/// Returns the refusal of a request that no version among the servers may run.
fn check_versions(
    core: &Core,
    call: &Call,
    eligible: Eligibility<'_>,
    servers: &[Arc<Backend>],
) -> Result<(), Refusal> {
    let is_barred =
        |backend: &Arc<Backend>| !backend.is_closed() && eligible.has_version_of(&backend.server);
    if !eligible.barred.is_empty() && servers.iter().any(is_barred) {
        quarantine::log_withheld(core, call);
        return Err(Refusal::PartQuarantined);
    }
    if eligible.version.is_some() {
        return Err(Refusal::VersionGone);
    }
    Ok(())
}

/// Calls a function with the servers of a pool that this gateway uses: its subset, or, for a version
/// of which the subset has no server that stays, all servers of that version.
fn with_servers<T>(
    core: &Core,
    pool: PoolId,
    eligible: Eligibility<'_>,
    read: impl FnOnce(&[Arc<Backend>]) -> T,
) -> T {
    let registry = &core.registry;
    let is_allowed = |backend: &Arc<Backend>| eligible.allows_version_of(&backend.server);
    let is_left = |backend: &Arc<Backend>| is_allowed(backend) && !backend.is_closed();
    if registry.with_pool(pool, |servers| servers.iter().any(is_left)) {
        return registry.with_pool(pool, read);
    }
    match eligible.version {
        Some(version) => read(&registry.of_version(pool, version)),
        None => registry.with_pool(pool, read),
    }
}

/// Returns whether a request may be sent to a server now.
fn is_usable(backend: &Backend, now_ms: u64, is_view_fresh: bool) -> bool {
    // A server that asked for pushback is idle and would otherwise rank first.
    backend.is_open()
        && backend.instance.wait_ms(now_ms) == 0
        && backend.cold.has_capacity(now_ms, is_view_fresh)
}

/// Ends the outages of pools of which a server can be used again.
pub(crate) fn end_outages(core: &Core) {
    let (now_ms, is_view_fresh) = (clock::now_ms(), core.view.is_fresh());
    core.outages.end_if(|pool| {
        core.registry.with_pool(pool, |servers| {
            let mut servers = servers.iter();
            servers.any(|backend| is_usable(backend, now_ms, is_view_fresh))
        })
    });
}

/// Keeps only the preferred servers, if there are any.
fn prefer(open: &mut Vec<&Arc<Backend>>, is_preferred: impl Fn(&Arc<Backend>) -> bool) {
    if open.iter().any(|backend| is_preferred(backend)) {
        open.retain(|backend| is_preferred(backend));
    }
}

fn find_server<'a>(
    open: &[&'a Arc<Backend>],
    server: Option<ServerId>,
) -> Result<&'a Arc<Backend>, Refusal> {
    let found = open
        .iter()
        .find(|backend| Some(backend.server.id) == server);
    found.copied().ok_or(Refusal::NO_SERVER)
}

fn assign_prompt(
    core: &Core,
    call: &Call,
    open: &[&Arc<Backend>],
    usage: Option<Usage>,
    now: Instant,
) -> Result<InFlight, Denial> {
    let prompt = call.prompt.as_ref().ok_or(Refusal::NO_SERVER)?;
    let engines = open.iter().map(|backend| {
        let mut engine = backend.engine();
        engine.source.exclude(backend.unsuited_until_ms());
        engine
    });
    let engines: Vec<_> = engines.collect();
    let candidates = open.iter().zip(&engines).map(|(backend, engine)| {
        let engine: &Engine = engine;
        Candidate {
            server: backend.server.id,
            engine,
            penalty_ms: backend.health.lock().penalty_ms(now),
        }
    });
    let candidates = shortlist(prompt, candidates, rand::rng().random());
    let admitted = shed::admit(
        prompt,
        candidates.iter().copied(),
        objective(call),
        usage,
        clock::now_ms(),
    );
    let admitted = admitted.ok_or(Refusal::NO_SERVER)?;
    drop(candidates);
    drop(engines);
    let choice = match admitted {
        Ok(choice) => choice,
        Err(rejection) => {
            let usage = usage.unwrap_or_default();
            return Err(Denial::Rejected { rejection, usage });
        }
    };
    let backend = find_server(open, Some(choice.server))?;
    let unshared = prompt.tokens - prompt.shared_tokens();
    let is_new = choice.uncached + choice.fetched > unshared;
    if usage.is_some() {
        with_cost(call, |customer, tokens| {
            core.shares.lock().record_grant(customer, tokens);
        });
    }
    core.exchange.record_prompt(choice.server, prompt, is_new);
    let fetch = choice.fetch_from.and_then(|source| {
        let source = find_server(open, Some(source)).ok()?;
        let prefill_ms = backend.engine().prefill_ms(choice.fetched);
        Some(Fetch::new(source, &choice, prefill_ms))
    });
    let is_stream = call.route.kind.is_stream();
    Ok(InFlight::start(backend, Some(prompt), fetch, is_stream))
}

/// Latency objective of a request.
pub(crate) fn objective(call: &Call) -> Objective {
    // The caller of a stream that has begun waits for its next event instead of the first.
    let factor = if call.is_resumption() {
        RESUMPTION_OBJECTIVE
    } else {
        1.0
    };
    Objective {
        first_token_ms: as_f64(call.route.objective_ms) * factor,
        max_pause_ms: call.route.max_gap_ms.map_or(f64::INFINITY, as_f64),
    }
}

/// Refunds the customer's charge for a request that its server has not run.
pub(crate) fn refund(core: &Core, call: &Call) {
    with_cost(call, |customer, tokens| {
        core.shares.lock().refund(customer, tokens);
    });
}

/// Calls `apply` with the customer and the prompt's cost, if the request has both.
fn with_cost(call: &Call, apply: impl FnOnce(CustomerId, u32)) {
    if let (Some(customer), Some(prompt)) = (&call.customer, &call.prompt) {
        apply(customer.id, prompt.cost());
    }
}

/// Returns the customer's usage of its share. A new request is recorded first.
fn usage(core: &Core, call: &Call, is_new: bool) -> Usage {
    let (Some(customer), Some(prompt)) = (&call.customer, &call.prompt) else {
        return Usage::default();
    };
    let mut shares = core.shares.lock();
    if is_new {
        shares.record_request(customer.id, prompt.cost());
    }
    shares.usage(customer.id)
}

#[expect(clippy::cast_precision_loss, reason = "a few seconds in milliseconds")]
const fn as_f64(ms: u64) -> f64 {
    ms as f64
}
