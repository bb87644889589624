//! Choice of a server, and whether a request may be sent at all.

use std::sync::Arc;

use mulberryyoke_decide::engine::{Candidate, Choice, Engine, choose};
use mulberryyoke_decide::share::Standing;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::ServerId;
use tokio::time::Instant;

use crate::backend::{Backend, Running};
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::refusal::Refusal;
use crate::round::whole;

/// Part of a stream's objective that the first event may be expected to take, for
/// a customer that has less than its portion.
const BEHIND_PART: f64 = 0.7;

/// As [`BEHIND_PART`], for a customer that has its portion.
const PORTION_PART: f64 = 0.5;

/// Part of its portion below which a customer is behind.
const BEHIND: f64 = 0.8;

/// How fast the bound falls for a customer that has more than its portion, and
/// the multiple of the portion beyond which it falls no more.
const OVER_POWER: i32 = 2;
const OVER_MOST: f64 = 2.5;

/// Multiple of its portion of all that is given beyond which a customer is given
/// nothing until those that have less were served.
const EVEN: f64 = 1.2;

/// Time that prompts wait at the servers on average below which there is capacity
/// for all, in milliseconds: about half a step of an engine that reads.
const SCARCE_MS: f64 = 30.0;

/// Time that a prompt may wait however long it takes to be read, as a part of the objective.
const WAIT_PART: f64 = 0.15;

/// Cost of a request that runs on a plain server, in milliseconds.
const PLAIN_MS: f64 = 10.0;

/// Cost of leaving the availability zone, in milliseconds.
const FAR_MS: f64 = 3.0;

/// Least and most time after which a refused caller is asked to come back, in milliseconds.
const RETRY_MS: (f64, f64) = (100.0, 1_500.0);

/// Chooses a server and counts the request there. Servers in `tried` are left out.
/// One that `may_have_run` is not refused for what others have to do: that it has
/// not run can no longer be promised, and what it took would be lost.
pub(crate) fn place(
    core: &Core,
    call: &Call,
    tried: &[ServerId],
    may_have_run: bool,
) -> Result<Running, Refusal> {
    core.roster.of(call.pool, |servers| {
        let now = Instant::now();
        let open: Vec<&Arc<Backend>> = servers
            .iter()
            .filter(|backend| backend.is_open() && !tried.contains(&backend.server.id))
            .collect();
        if call.prompt.is_some() {
            let standing = standing(core, call, tried.is_empty());
            let standing = (!may_have_run).then_some(standing);
            return place_prompt(core, call, &open, standing, now);
        }
        let zone = &core.settings.load().zone;
        let best = open.into_iter().min_by(|a, b| {
            let (a, b) = (plain_cost(a, zone, now), plain_cost(b, zone, now));
            a.total_cmp(&b)
        });
        let backend = best.ok_or(Refusal::NoServer)?;
        Ok(Running::begin(backend, None))
    })
}

fn plain_cost(backend: &Backend, zone: &str, now: Instant) -> f64 {
    let requests = backend.engine.lock().requests();
    let far = if backend.server.zone == zone {
        0.0
    } else {
        FAR_MS
    };
    f64::from(requests) * PLAIN_MS + far + backend.health.lock().penalty_ms(now)
}

fn place_prompt(
    core: &Core,
    call: &Call,
    open: &[&Arc<Backend>],
    standing: Option<Standing>,
    now: Instant,
) -> Result<Running, Refusal> {
    let prompt = call.prompt.as_ref().ok_or(Refusal::NoServer)?;
    let engines: Vec<_> = open.iter().map(|backend| backend.engine.lock()).collect();
    let candidates = open.iter().zip(&engines).map(|(backend, engine)| {
        let engine: &Engine = engine;
        Candidate {
            server: backend.server.id,
            engine,
            penalty_ms: backend.health.lock().penalty_ms(now),
        }
    });
    let pause_ms = call.route.gap_ms.map_or(f64::INFINITY, as_f64);
    let choice = choose(prompt, candidates, pause_ms, clock::ms(now));
    let choice = choice.ok_or(Refusal::NoServer)?;
    drop(engines);
    let chosen = open.iter().find(|b| b.server.id == choice.server);
    let backend = chosen.ok_or(Refusal::NoServer)?;
    if let Some(standing) = standing {
        admit(core, call, &choice, standing, &backend.server.name)?;
    }
    let own = prompt.tokens - prompt.shared_tokens();
    let is_new = choice.uncached > own;
    if let Some(customer) = call.customer.as_ref().filter(|_| standing.is_some()) {
        core.shares.lock().give(customer.id, prompt.cost());
    }
    core.exchange.note(choice.server, prompt, is_new);
    Ok(Running::begin(backend, Some(prompt)))
}

/// What the customer was given, beside what it may have; a new request counts as asked.
fn standing(core: &Core, call: &Call, is_new: bool) -> Standing {
    let (Some(customer), Some(prompt)) = (&call.customer, &call.prompt) else {
        return Standing::default();
    };
    let mut shares = core.shares.lock();
    if is_new {
        shares.ask(customer.id, prompt.cost());
    }
    shares.standing(customer.id)
}

/// Refuses a prompt whose first token would come too late where it costs least.
///
/// A customer that has more than it may have is sent only where little waits, so
/// that those who have less come first.
fn admit(
    core: &Core,
    call: &Call,
    choice: &Choice,
    standing: Standing,
    server: &str,
) -> Result<(), Refusal> {
    let objective = as_f64(call.route.objective_ms);
    let factor = leeway(standing, choice.mean_wait_ms);
    let part = PORTION_PART * factor;
    let beyond = choice.first_ms() - objective * part;
    let wait_ms = objective * WAIT_PART * factor.min(1.0);
    if factor > 0.0 && (beyond <= 0.0 || choice.wait_ms <= wait_ms) {
        return Ok(());
    }
    log!(core.logger, Event::HeldBack,
        "request" => &call.id,
        "customer" => call.customer_name(),
        "server" => server,
        "wait_ms" => whole(choice.wait_ms),
        "read_ms" => whole(choice.read_ms),
        "uncached" => choice.uncached,
        "again" => choice.again,
        "allowed_ms" => whole(objective * part),
        "mean_wait_ms" => whole(choice.mean_wait_ms),
        "of_portion" => whole(standing.of_portion * 100.0),
        "of_given" => whole(standing.of_given * 100.0));
    let ms = beyond.clamp(RETRY_MS.0, RETRY_MS.1);
    if standing.of_portion > 1.0 {
        return Err(Refusal::Share(whole(ms)));
    }
    Err(Refusal::Busy(whole(ms)))
}

/// Factor of the time that a customer's prompts may take to be begun.
fn leeway(standing: Standing, mean_wait_ms: f64) -> f64 {
    if standing.of_portion < BEHIND {
        return BEHIND_PART / PORTION_PART;
    }
    let over = standing.of_portion.clamp(1.0, OVER_MOST);
    if standing.of_given > EVEN && mean_wait_ms > SCARCE_MS {
        return 0.0;
    }
    over.powi(-OVER_POWER)
}

#[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
const fn as_f64(ms: u64) -> f64 {
    ms as f64
}
