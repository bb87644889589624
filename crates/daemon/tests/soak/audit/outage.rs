//! Checks and figures of outages after which all gateways that watch the store are cut off.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime};

use serde_json::Value;

use super::{Audit, DRAIN_DELAY};
use crate::backend::RecordedRequest;
use crate::load::Call;
use crate::run::{AWAY, Run, WATCHERS};
use crate::subject::Subject;

/// Time after the return of the store in which a change counts as the first one.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// Numbers of the log events of a request that is sent to a server, and of a registration.
const ROUTED: u64 = 1001;
const REGISTERED: u64 = 1016;

/// Time for which the calls of the store are counted, before an outage and after it.
const COUNTED: Duration = Duration::from_secs(2);

/// Time in which calls count as made at once.
const INSTANT: Duration = Duration::from_millis(100);

/// Servers that leave get no request later than the rule allows from gateways in touch.
pub(super) fn check(
    audit: &mut Audit,
    run: &Run,
    calls_by_id: &HashMap<&str, &Call>,
    recorded: &[RecordedRequest],
) {
    if run.subject != Subject::Outages {
        return;
    }
    let leaving = run.leaving_servers();
    let mut last: HashMap<(&str, usize), Instant> = HashMap::new();
    for request in recorded {
        let Some(call) = calls_by_id.get(&*request.id) else {
            continue;
        };
        let at = last.entry((&request.server, call.gateway));
        let at = at.or_insert(request.received_at);
        *at = request.received_at.max(*at);
    }
    for (server, since) in &leaving {
        for gateway in 0..run.gateways.len() {
            let until = last.get(&(&**server, gateway)).copied();
            let until = until.unwrap_or(*since).max(*since);
            let delay = until - *since;
            if run.fault_log.is_in_touch(gateway, *since, until) {
                audit.check("drained in time", delay <= DRAIN_DELAY, || {
                    format!("gateway {gateway} sent to {server} {delay:?} after it left")
                });
                audit.record("last request in touch, ms", delay.as_millis());
            }
        }
    }
    record_logs(audit, run, &leaving);
    for count in run.long_intervals.lock().iter() {
        audit.record("intervals over 1 s between current data", (*count).into());
    }
    record_calls(audit, run);
}

/// Records when undisturbed gateways learned that servers leave, and how old their data was at each
/// request, by their logs.
fn record_logs(audit: &mut Audit, run: &Run, leaving: &[(String, Instant)]) {
    let leaving: HashMap<&str, Instant> = leaving.iter().map(|(name, at)| (&**name, *at)).collect();
    for index in WATCHERS..run.gateways.len() {
        let log = std::fs::read_to_string(&run.gateways[index].log).unwrap_or_default();
        for line in log.lines() {
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            let server = line["server"].as_str().unwrap_or_default();
            match (line["event"].as_u64(), leaving.get(server)) {
                (Some(ROUTED), _) => {
                    let age_ms = line["view_age_ms"].as_u64().unwrap_or(0);
                    audit.record("age of the data at a request, ms", age_ms.into());
                }
                (Some(REGISTERED), Some(since)) if line["leaving"] == true => {
                    let delay = logged_at(&line).saturating_duration_since(*since);
                    audit.record(phase(run, index, *since, *since + delay), delay.as_millis());
                }
                _ => {}
            }
        }
    }
}

/// Name of the figure of what a gateway learned in a period.
fn phase(run: &Run, gateway: usize, from: Instant, to: Instant) -> &'static str {
    if run.is_first_change(gateway, from, RETURN_TIME) {
        "learned at the return, ms"
    } else if run.fault_log.is_in_touch(gateway, from, to) {
        "learned in touch, ms"
    } else {
        "learned before in touch, ms"
    }
}

/// When a line was logged.
fn logged_at(line: &Value) -> Instant {
    let text = line["ts"].as_str().unwrap_or_default();
    let at = humantime::parse_rfc3339(text).expect("a time");
    let ago = SystemTime::now().duration_since(at).unwrap_or_default();
    Instant::now().checked_sub(ago).expect("since the start")
}

/// Number of calls in the busiest [`INSTANT`] of the time that is counted from `from`.
fn busiest(reads: &[Instant], from: Instant) -> u128 {
    let counted = reads
        .iter()
        .filter(|at| **at >= from && **at < from + COUNTED);
    let counts = counted.map(|begin| {
        let within = reads
            .iter()
            .filter(|at| *at >= begin && **at < *begin + INSTANT);
        within.count() as u128
    });
    counts.max().unwrap_or(0)
}

/// Counts the calls of the store for its contents: before outages, in their last seconds, and
/// after the return.
fn record_calls(audit: &mut Audit, run: &Run) {
    let reads = run.store_reads();
    let count = |from: Instant| {
        let counted = reads
            .iter()
            .filter(|at| **at >= from && **at < from + COUNTED);
        counted.count() as u128 / u128::from(COUNTED.as_secs())
    };
    for returned_at in run.returns.lock().iter() {
        audit.record(
            "calls/s in the outage",
            count(returned_at.checked_sub(COUNTED).expect("since the start")),
        );
        audit.record("calls/s at the return", count(*returned_at));
        audit.record(
            "calls in the busiest 0.1 s after the return",
            busiest(&reads, *returned_at),
        );
        audit.record(
            "calls/s after the return",
            count(*returned_at + 2 * COUNTED),
        );
    }
    if let Some(returned_at) = run.returns.lock().first() {
        let calm = returned_at.checked_sub(AWAY + COUNTED);
        audit.record("calls/s in calm", count(calm.expect("since the start")));
    }
}
