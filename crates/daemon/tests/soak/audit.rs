//! What callers and servers saw, held against what is promised.

mod notice;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::backend::{EVENTS_PER_STREAM, RecordedRequest};
use crate::fault_log::Scope;
use crate::gateway::{KEYS_FRESH_MS, RETRY_RATIO, RETRY_SLACK};
use crate::load::{Call, Completion, RESPONSE_TIMEOUT};
use crate::operator::PROPAGATION;
use crate::run::Run;

/// Time by which observations of two processes may differ.
const SLACK: Duration = Duration::from_millis(500);

/// Time after which a leaving server gets nothing new from gateways in touch.
const DRAIN: Duration = Duration::from_secs(2);

/// Window in which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Counts of checks made, by promise, and what broke one.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    pub(crate) checked: HashMap<&'static str, u64>,
    pub(crate) findings: Vec<String>,
}

impl Audit {
    fn check(&mut self, promise: &'static str, holds: bool, what: impl FnOnce() -> String) {
        *self.checked.entry(promise).or_default() += 1;
        if !holds {
            self.findings.push(format!("{promise}: {}", what()));
        }
    }
}

/// Holds all that was seen against the promises.
pub(crate) fn audit(run: &Run) -> Audit {
    let mut audit = Audit::default();
    let calls = run.calls.lock().clone();
    let recorded = run.recorded.lock().expect("no panic").clone();
    let mut by_id: HashMap<&str, Vec<&RecordedRequest>> = HashMap::new();
    for request in &recorded {
        by_id.entry(&request.id).or_default().push(request);
    }
    for call in &calls {
        let received = by_id.get(&*call.id).map_or(&[][..], Vec::as_slice);
        let runs = received.iter().filter(|request| request.executed).count();
        own_answer(&mut audit, call);
        stream_order(&mut audit, call);
        outcome(&mut audit, run, call, runs);
        configuration(&mut audit, run, call, received);
        in_time(&mut audit, run, call);
    }
    let asked: HashMap<&str, &Call> = calls.iter().map(|r| (&*r.id, r)).collect();
    for request in &recorded {
        let asked = asked.get(&*request.id);
        audit.check("asked by a caller", asked.is_some(), || {
            format!("{request:?}")
        });
        if let Some(call) = asked {
            drained(&mut audit, run, call, request);
        }
    }
    retries(&mut audit, &calls, &recorded, &by_id);
    notice::leaving(&mut audit, run, &asked, &recorded);
    notice::rest(&mut audit, run, &asked, &recorded);
    audit
}

fn own_answer(audit: &mut Audit, call: &Call) {
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
    audit.check("whole own answer", holds, || format!("{call:?}"));
}

fn stream_order(audit: &mut Audit, call: &Call) {
    if call.status != 200 || !matches!(call.kind, "stream" | "resume") {
        return;
    }
    let text = call
        .body
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"));
    let ids = text.filter_map(|event| event.lines().next()?.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    let is_complete =
        call.completion != Completion::Complete || ids.len() as u64 == EVENTS_PER_STREAM;
    audit.check("order of a stream", in_order && is_complete, || {
        format!("{call:?}")
    });
}

fn outcome(audit: &mut Audit, run: &Run, call: &Call, runs: usize) {
    let is_once = matches!(call.kind, "once" | "stream");
    audit.check("at most once", !is_once || runs <= 1, || {
        format!("{runs} runs {call:?}")
    });
    if NOT_RUN.contains(&call.status) && is_once {
        audit.check("truthful not run", runs == 0, || {
            format!("{runs} runs {call:?}")
        });
    }
    let is_cut = matches!(
        call.completion,
        Completion::Failed(_) | Completion::Truncated
    );
    let (from, to) = (call.sent_at, call.ended_at);
    let is_undisturbed = run
        .fault_log
        .is_undisturbed(Scope::Gateway(call.gateway), from, to)
        && run
            .fault_log
            .is_undisturbed(Scope::AnyServerConnection, from, to);
    if is_undisturbed {
        audit.check("nothing cut", !is_cut || runs == 0, || format!("{call:?}"));
    }
}

fn configuration(audit: &mut Audit, run: &Run, call: &Call, received: &[&RecordedRequest]) {
    let runs = received.iter().filter(|request| request.executed).count();
    let (from, to) = (call.sent_at, call.ended_at);
    if let Some(key) = &call.key {
        let Some(validity) = run.operator.validity(key) else {
            return;
        };
        let late = Duration::from_millis(KEYS_FRESH_MS) + SLACK;
        if validity.until.is_some_and(|until| from > until + late) {
            audit.check("revoked key", runs == 0, || format!("{call:?}"));
        }
        let is_valid = from > validity.from + PROPAGATION + SLACK
            && validity.until.is_none_or(|until| to < until);
        if is_valid {
            audit.check("valid key", call.status != 401, || format!("{call:?}"));
        }
        let customers = received
            .iter()
            .filter_map(|request| request.customer.as_deref());
        let is_named = customers.clone().count() == received.len();
        let is_own = is_named && customers.into_iter().all(|customer| customer == "noor");
        audit.check("customer named", is_own, || format!("{received:?}"));
    }
    if call.kind != "extra" {
        audit.check("known route", call.status != 404, || format!("{call:?}"));
        return;
    }
    let settled = from.checked_sub(PROPAGATION + SLACK).unwrap_or(from);
    if !run.fault_log.has_current_config(call.gateway, settled, to) {
        return;
    }
    match run.operator.has_extra_route(settled, to) {
        Some(true) => audit.check("added route", call.status != 404, || format!("{call:?}")),
        Some(false) => audit.check("removed route", runs == 0, || format!("{call:?}")),
        None => {}
    }
}

fn in_time(audit: &mut Audit, run: &Run, call: &Call) {
    if !run
        .fault_log
        .is_undisturbed(Scope::Gateway(call.gateway), call.sent_at, call.ended_at)
    {
        return;
    }
    let elapsed = call.ended_at - call.sent_at;
    let is_final = call.completion != Completion::TimedOut && elapsed <= RESPONSE_TIMEOUT + SLACK;
    audit.check("final answer in time", is_final, || {
        format!("{elapsed:?} {call:?}")
    });
    let is_refusal = matches!(call.status, 429 | 503) && run.is_store_up();
    if is_refusal
        && run
            .fault_log
            .is_undisturbed(Scope::AnyServerConnection, call.sent_at, call.ended_at)
    {
        audit.check("refused at once", elapsed <= 2 * SLACK, || {
            format!("{elapsed:?} {call:?}")
        });
    }
}

fn drained(audit: &mut Audit, run: &Run, call: &Call, request: &RecordedRequest) {
    let Some(draining_since) = run.draining_since(&request.server) else {
        return;
    };
    if request.received_at <= draining_since {
        return;
    }
    let late = draining_since + DRAIN + SLACK;
    let is_late = request.received_at > late && request.executed;
    let from = late.min(call.sent_at);
    let breaks = is_late
        && run
            .fault_log
            .has_current_config(call.gateway, from, request.received_at);
    audit.check("leaving server", !breaks, || {
        format!("{request:?} {call:?}")
    });
}

fn retries(
    audit: &mut Audit,
    calls: &[Call],
    recorded: &[RecordedRequest],
    by_id: &HashMap<&str, Vec<&RecordedRequest>>,
) {
    let is_model = |kind: &str| matches!(kind, "stream" | "resume");
    let of_model = |path: &str| path.starts_with("/stream/") || path.starts_with("/resume/");
    for model in [false, true] {
        let again = |request: &&RecordedRequest| {
            let first = by_id[&*request.id]
                .iter()
                .map(|request| request.received_at)
                .min();
            of_model(&request.path) == model
                && first.is_some_and(|first| request.received_at > first)
        };
        let again: Vec<Instant> = recorded
            .iter()
            .filter(again)
            .map(|a| a.received_at)
            .collect();
        for begin in &again {
            let within = |at: &Instant| *at >= *begin && *at < *begin + WINDOW;
            let repeats = again.iter().filter(|at| within(at)).count();
            // Requests of an earlier window count if these are more.
            let asked = [WINDOW, WINDOW / 2, Duration::ZERO].map(|before| {
                let from = begin.checked_sub(before).unwrap_or(*begin);
                let of_pool = calls.iter().filter(|call| {
                    is_model(call.kind) == model
                        && call.sent_at >= from
                        && call.sent_at < from + WINDOW
                });
                of_pool.count()
            });
            let asked = asked.into_iter().max().unwrap_or(0);
            #[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
            let most = asked as f64 * RETRY_RATIO + f64::from(RETRY_SLACK);
            #[expect(clippy::cast_precision_loss, reason = "some thousand requests")]
            let holds = repeats as f64 <= most;
            audit.check("retry budget", holds, || format!("{repeats} of {most}"));
        }
    }
}
