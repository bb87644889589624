//! Checks of the observations of callers and servers against the guarantees of the gateways.

mod notice;
mod outage;
mod part;
mod stream;
mod version;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::answer::Framing;
use crate::backend::RecordedRequest;
use crate::fault_log::Scope;
use crate::gateway::{KEYS_FRESH_MS, RETRY_RATIO, RETRY_SLACK};
use crate::load::{Call, Completion, RESPONSE_TIMEOUT};
use crate::operator::PROPAGATION;
use crate::run::Run;

/// Tolerance when times observed by different processes are compared.
const TOLERANCE: Duration = Duration::from_millis(500);

/// Time after which gateways with the current configuration send a draining server no new
/// requests.
const DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Period over which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Statuses that promise that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Number of checks per guarantee, and the violations found.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    pub(crate) checked: HashMap<&'static str, u64>,
    pub(crate) findings: Vec<String>,
    /// Measured times and rates, in milliseconds or calls.
    pub(crate) figures: BTreeMap<&'static str, Vec<u128>>,
}

impl Audit {
    fn check(&mut self, guarantee: &'static str, holds: bool, details: impl FnOnce() -> String) {
        *self.checked.entry(guarantee).or_default() += 1;
        if !holds {
            self.findings.push(format!("{guarantee}: {}", details()));
        }
    }

    fn record(&mut self, figure: &'static str, value: u128) {
        self.figures.entry(figure).or_default().push(value);
    }
}

/// Checks all observations of a run.
pub(crate) fn audit(run: &Run) -> Audit {
    let mut audit = Audit::default();
    let calls = run.calls.lock().clone();
    let recorded = run.recorded.lock().expect("no panic").clone();
    let mut by_id: HashMap<&str, Vec<&RecordedRequest>> = HashMap::new();
    for request in &recorded {
        by_id.entry(&request.id).or_default().push(request);
    }
    for call in &calls {
        let attempts = by_id.get(&*call.id).map_or(&[][..], Vec::as_slice);
        let executions = count_executions(attempts);
        check_response(&mut audit, call);
        stream::check(&mut audit, run, call, attempts);
        check_executions(&mut audit, run, call, attempts);
        check_key(&mut audit, run, call, attempts);
        check_route(&mut audit, run, call, executions);
        check_latency(&mut audit, run, call);
    }
    let calls_by_id: HashMap<&str, &Call> = calls.iter().map(|call| (&*call.id, call)).collect();
    for request in &recorded {
        let call = calls_by_id.get(&*request.id);
        audit.check("request of a caller", call.is_some(), || {
            format!("{request:?}")
        });
        if let Some(call) = call {
            check_draining(&mut audit, run, call, request);
        }
    }
    check_retries(&mut audit, &calls, &recorded, &by_id);
    part::check(&mut audit, run, &calls, &calls_by_id, &recorded);
    version::check(&mut audit, &calls, &by_id);
    version::check_received(&mut audit, &calls);
    version::check_share(&mut audit, run, &calls);
    version::check_lost(&mut audit, run, &calls, &calls_by_id);
    notice::check_leaving(&mut audit, run, &calls_by_id, &recorded);
    notice::check_pushback(&mut audit, run, &calls_by_id, &recorded);
    let starved = run.fault_log.total(Scope::StandIns).as_millis();
    audit.record("stand-ins starved in a run, ms", starved);
    audit.record(
        "reads of the store in a run",
        run.store_reads().len() as u128,
    );
    outage::check(&mut audit, run, &calls_by_id, &recorded);
    audit
}

fn count_executions(attempts: &[&RecordedRequest]) -> usize {
    attempts.iter().filter(|attempt| attempt.executed).count()
}

/// A successful response belongs to the request and has the seal of the server.
fn check_response(audit: &mut Audit, call: &Call) {
    if call.status == 0 {
        return;
    }
    let is_success = (200..300).contains(&call.status);
    let is_own = match call.kind {
        "stream" | "resume" => {
            let mut data = call
                .body
                .lines()
                .filter_map(|line| line.strip_prefix("data: "));
            data.all(|data| call.id.starts_with(data))
        }
        _ => {
            call.completion != Completion::Complete || call.body == format!("answer to {}", call.id)
        }
    };
    let holds = is_success == call.is_sealed && (!is_success || is_own);
    audit.check("response to the request", holds, || format!("{call:?}"));
}

/// A non-idempotent request runs at most once, and not at all if the status promises so. Without
/// faults, no request that has run loses its response.
fn check_executions(audit: &mut Audit, run: &Run, call: &Call, attempts: &[&RecordedRequest]) {
    let executions = count_executions(attempts);
    let is_non_idempotent = matches!(call.kind, "once" | "stream");
    audit.check(
        "at most once",
        !is_non_idempotent || executions <= 1,
        || format!("{executions} executions {call:?}"),
    );
    if NOT_RUN_STATUSES.contains(&call.status) && is_non_idempotent {
        audit.check("not-run status", executions == 0, || {
            format!("{executions} executions {call:?}")
        });
    }
    let is_lost = matches!(
        call.completion,
        Completion::Failed(_) | Completion::Truncated
    );
    let (from, to) = (call.sent_at, call.ended_at);
    let is_undisturbed = [Scope::Gateway(call.gateway), Scope::AnyServerConnection]
        .iter()
        .all(|scope| run.fault_log.is_undisturbed(*scope, from, to));
    if is_undisturbed {
        // What a server breaks off is lost, unless it is resumed elsewhere.
        let is_broken = |run: &&RecordedRequest| run.framing == Framing::BareBroken;
        // The answer of a server that starves may not be complete by the deadline.
        let is_late = call.ended_at - call.sent_at >= RESPONSE_TIMEOUT && is_starved(run, call);
        let is_excused = executions == 0 || attempts.iter().any(is_broken) || is_late;
        audit.check("no lost response", !is_lost || is_excused, || {
            format!("{call:?}")
        });
    }
}

/// Whether callers and servers got too few processors during a call. Their own times then count as
/// those of the gateways.
fn is_starved(run: &Run, call: &Call) -> bool {
    let (from, to) = (call.sent_at, call.ended_at);
    !run.fault_log.is_fault_free(Scope::StandIns, from, to)
}

/// A valid key is accepted, a revoked one is rejected, and servers receive the customer's name.
fn check_key(audit: &mut Audit, run: &Run, call: &Call, attempts: &[&RecordedRequest]) {
    let (from, to) = (call.sent_at, call.ended_at);
    let Some(key) = &call.key else {
        return;
    };
    let Some(validity) = run.operator.validity(key) else {
        return;
    };
    let max_delay = Duration::from_millis(KEYS_FRESH_MS) + TOLERANCE;
    if validity.until.is_some_and(|until| from > until + max_delay) {
        let executions = count_executions(attempts);
        audit.check("revoked key", executions == 0, || format!("{call:?}"));
    }
    let is_valid = from > validity.from + PROPAGATION + TOLERANCE
        && validity.until.is_none_or(|until| to < until);
    if is_valid {
        audit.check("valid key", call.status != 401, || format!("{call:?}"));
    }
    let is_own = attempts
        .iter()
        .all(|attempt| attempt.customer.as_deref() == Some("noor"));
    audit.check("customer", is_own, || format!("{attempts:?}"));
}

/// Routes are found, except for the extra route while it is removed.
fn check_route(audit: &mut Audit, run: &Run, call: &Call, executions: usize) {
    let (from, to) = (call.sent_at, call.ended_at);
    if call.kind != "extra" {
        audit.check("permanent route", call.status != 404, || {
            format!("{call:?}")
        });
        return;
    }
    let from = from.checked_sub(PROPAGATION + TOLERANCE).unwrap_or(from);
    if !run.fault_log.has_current_config(call.gateway, from, to) {
        return;
    }
    match run.operator.has_extra_route(from, to) {
        Some(true) => audit.check("added route", call.status != 404, || format!("{call:?}")),
        Some(false) => audit.check("removed route", executions == 0, || format!("{call:?}")),
        None => {}
    }
}

/// Without faults of the gateway, requests end by their deadline. Requests are refused immediately
/// if server connections have no faults either.
fn check_latency(audit: &mut Audit, run: &Run, call: &Call) {
    let is_undisturbed = |scope| {
        run.fault_log
            .is_undisturbed(scope, call.sent_at, call.ended_at)
    };
    if !is_undisturbed(Scope::Gateway(call.gateway)) || is_starved(run, call) {
        return;
    }
    let elapsed = call.ended_at - call.sent_at;
    let is_in_time =
        call.completion != Completion::TimedOut && elapsed <= RESPONSE_TIMEOUT + TOLERANCE;
    audit.check("response by the deadline", is_in_time, || {
        format!("{elapsed:?} {call:?}")
    });
    let is_refusal = matches!(call.status, 429 | 503) && run.is_store_up();
    if is_refusal && is_undisturbed(Scope::AnyServerConnection) {
        audit.check("immediate refusal", elapsed <= 2 * TOLERANCE, || {
            format!("{elapsed:?} {call:?}")
        });
    }
}

/// A server that is registered as draining executes no new requests.
fn check_draining(audit: &mut Audit, run: &Run, call: &Call, request: &RecordedRequest) {
    let Some(draining_since) = run.draining_since(&request.server) else {
        return;
    };
    if request.received_at <= draining_since {
        return;
    }
    let limit = draining_since + DRAIN_DELAY + TOLERANCE;
    let is_late = request.received_at > limit && request.executed;
    let from = limit.min(call.sent_at);
    let is_violation = is_late
        && run
            .fault_log
            .has_current_config(call.gateway, from, request.received_at);
    audit.check("draining server", !is_violation, || {
        format!("{request:?} {call:?}")
    });
}

/// The retries of each pool stay within the retry budget.
fn check_retries(
    audit: &mut Audit,
    calls: &[Call],
    recorded: &[RecordedRequest],
    by_id: &HashMap<&str, Vec<&RecordedRequest>>,
) {
    let is_model_kind = |kind: &str| matches!(kind, "stream" | "resume");
    let is_model_path = |path: &str| path.starts_with("/stream/") || path.starts_with("/resume/");
    for is_model in [false, true] {
        let is_retry = |request: &&RecordedRequest| {
            let first = by_id[&*request.id]
                .iter()
                .map(|attempt| attempt.received_at)
                .min();
            is_model_path(&request.path) == is_model
                && first.is_some_and(|first| request.received_at > first)
        };
        let retries: Vec<Instant> = recorded
            .iter()
            .filter(is_retry)
            .map(|request| request.received_at)
            .collect();
        for start in &retries {
            let is_within = |at: &Instant| *at >= *start && *at < *start + RETRY_WINDOW;
            let count = retries.iter().filter(|at| is_within(at)).count();
            // The budget of a window may also come from the requests of an earlier one.
            let requests = [RETRY_WINDOW, RETRY_WINDOW / 2, Duration::ZERO].map(|before| {
                let from = start.checked_sub(before).unwrap_or(*start);
                let of_pool = calls.iter().filter(|call| {
                    is_model_kind(call.kind) == is_model
                        && call.sent_at >= from
                        && call.sent_at < from + RETRY_WINDOW
                });
                of_pool.count()
            });
            let requests = requests.into_iter().max().unwrap_or(0);
            #[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
            let budget = requests as f64 * RETRY_RATIO + f64::from(RETRY_SLACK);
            #[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
            let holds = count as f64 <= budget;
            audit.check("retry budget", holds, || format!("{count} of {budget}"));
        }
    }
}
