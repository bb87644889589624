//! What callers and servers saw, held against what is promised.

mod notice;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::backend::{EVENTS_PER_STREAM, RecordedRequest};
use crate::fault_log::Scope;
use crate::gateway::{KEYS_FRESH_MS, RETRY_RATIO, RETRY_SLACK};
use crate::load::{End, PATIENCE, Record};
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
    let records = run.records.lock().clone();
    let arrivals = run.arrivals.lock().expect("no panic").clone();
    let mut by_id: HashMap<&str, Vec<&RecordedRequest>> = HashMap::new();
    for arrival in &arrivals {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    for record in &records {
        let arrived = by_id.get(&*record.id).map_or(&[][..], Vec::as_slice);
        let runs = arrived.iter().filter(|arrival| arrival.executed).count();
        own_answer(&mut audit, record);
        stream_order(&mut audit, record);
        outcome(&mut audit, run, record, runs);
        configuration(&mut audit, run, record, arrived);
        in_time(&mut audit, run, record);
    }
    let asked: HashMap<&str, &Record> = records.iter().map(|r| (&*r.id, r)).collect();
    for arrival in &arrivals {
        let asked = asked.get(&*arrival.id);
        audit.check("asked by a caller", asked.is_some(), || {
            format!("{arrival:?}")
        });
        if let Some(record) = asked {
            drained(&mut audit, run, record, arrival);
        }
    }
    retries(&mut audit, &records, &arrivals, &by_id);
    notice::leaving(&mut audit, run, &asked, &arrivals);
    notice::rest(&mut audit, run, &asked, &arrivals);
    audit
}

fn own_answer(audit: &mut Audit, record: &Record) {
    if record.status == 0 {
        return;
    }
    let is_success = (200..300).contains(&record.status);
    let is_own = match record.kind {
        "stream" | "resume" => {
            let mut data = record
                .body
                .lines()
                .filter_map(|line| line.strip_prefix("data: "));
            data.all(|data| record.id.starts_with(data))
        }
        _ => record.end != End::Whole || record.body == format!("answer to {}", record.id),
    };
    let holds = is_success == record.is_sealed && (!is_success || is_own);
    audit.check("whole own answer", holds, || format!("{record:?}"));
}

fn stream_order(audit: &mut Audit, record: &Record) {
    if record.status != 200 || !matches!(record.kind, "stream" | "resume") {
        return;
    }
    let text = record
        .body
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"));
    let ids = text.filter_map(|event| event.lines().next()?.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    let is_complete = record.end != End::Whole || ids.len() as u64 == EVENTS_PER_STREAM;
    audit.check("order of a stream", in_order && is_complete, || {
        format!("{record:?}")
    });
}

fn outcome(audit: &mut Audit, run: &Run, record: &Record, runs: usize) {
    let is_once = matches!(record.kind, "once" | "stream");
    audit.check("at most once", !is_once || runs <= 1, || {
        format!("{runs} runs {record:?}")
    });
    if NOT_RUN.contains(&record.status) && is_once {
        audit.check("truthful not run", runs == 0, || {
            format!("{runs} runs {record:?}")
        });
    }
    let is_cut = matches!(record.end, End::Cut(_) | End::Partial);
    let (from, to) = (record.sent, record.ended);
    let is_undisturbed = run
        .fault_log
        .is_undisturbed(Scope::Gateway(record.gateway), from, to)
        && run
            .fault_log
            .is_undisturbed(Scope::AnyServerConnection, from, to);
    if is_undisturbed {
        audit.check("nothing cut", !is_cut || runs == 0, || {
            format!("{record:?}")
        });
    }
}

fn configuration(audit: &mut Audit, run: &Run, record: &Record, arrived: &[&RecordedRequest]) {
    let runs = arrived.iter().filter(|arrival| arrival.executed).count();
    let (from, to) = (record.sent, record.ended);
    if let Some(key) = &record.key {
        let Some(validity) = run.operator.validity(key) else {
            return;
        };
        let late = Duration::from_millis(KEYS_FRESH_MS) + SLACK;
        if validity.until.is_some_and(|until| from > until + late) {
            audit.check("revoked key", runs == 0, || format!("{record:?}"));
        }
        let is_valid = from > validity.from + PROPAGATION + SLACK
            && validity.until.is_none_or(|until| to < until);
        if is_valid {
            audit.check("valid key", record.status != 401, || format!("{record:?}"));
        }
        let customers = arrived
            .iter()
            .filter_map(|arrival| arrival.customer.as_deref());
        let is_named = customers.clone().count() == arrived.len();
        let is_own = is_named && customers.into_iter().all(|customer| customer == "noor");
        audit.check("customer named", is_own, || format!("{arrived:?}"));
    }
    if record.kind != "extra" {
        audit.check("known route", record.status != 404, || {
            format!("{record:?}")
        });
        return;
    }
    let settled = from.checked_sub(PROPAGATION + SLACK).unwrap_or(from);
    if !run
        .fault_log
        .has_current_config(record.gateway, settled, to)
    {
        return;
    }
    match run.operator.has_extra_route(settled, to) {
        Some(true) => audit.check("added route", record.status != 404, || {
            format!("{record:?}")
        }),
        Some(false) => audit.check("removed route", runs == 0, || format!("{record:?}")),
        None => {}
    }
}

fn in_time(audit: &mut Audit, run: &Run, record: &Record) {
    if !run
        .fault_log
        .is_undisturbed(Scope::Gateway(record.gateway), record.sent, record.ended)
    {
        return;
    }
    let elapsed = record.ended - record.sent;
    let is_final = record.end != End::Silent && elapsed <= PATIENCE + SLACK;
    audit.check("final answer in time", is_final, || {
        format!("{elapsed:?} {record:?}")
    });
    let is_refusal = matches!(record.status, 429 | 503) && run.is_store_up();
    if is_refusal
        && run
            .fault_log
            .is_undisturbed(Scope::AnyServerConnection, record.sent, record.ended)
    {
        audit.check("refused at once", elapsed <= 2 * SLACK, || {
            format!("{elapsed:?} {record:?}")
        });
    }
}

fn drained(audit: &mut Audit, run: &Run, record: &Record, arrival: &RecordedRequest) {
    let Some(draining_since) = run.draining_since(&arrival.server) else {
        return;
    };
    if arrival.received_at <= draining_since {
        return;
    }
    let late = draining_since + DRAIN + SLACK;
    let is_late = arrival.received_at > late && arrival.executed;
    let from = late.min(record.sent);
    let breaks = is_late
        && run
            .fault_log
            .has_current_config(record.gateway, from, arrival.received_at);
    audit.check("leaving server", !breaks, || {
        format!("{arrival:?} {record:?}")
    });
}

fn retries(
    audit: &mut Audit,
    records: &[Record],
    arrivals: &[RecordedRequest],
    by_id: &HashMap<&str, Vec<&RecordedRequest>>,
) {
    let is_model = |kind: &str| matches!(kind, "stream" | "resume");
    let of_model = |path: &str| path.starts_with("/stream/") || path.starts_with("/resume/");
    for model in [false, true] {
        let again = |arrival: &&RecordedRequest| {
            let first = by_id[&*arrival.id]
                .iter()
                .map(|arrival| arrival.received_at)
                .min();
            of_model(&arrival.path) == model
                && first.is_some_and(|first| arrival.received_at > first)
        };
        let again: Vec<Instant> = arrivals
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
                let of_pool = records.iter().filter(|record| {
                    is_model(record.kind) == model
                        && record.sent >= from
                        && record.sent < from + WINDOW
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
