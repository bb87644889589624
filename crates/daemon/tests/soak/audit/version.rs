//! Checks that streams go on only on servers of the version that began them.

use std::collections::{BTreeSet, HashMap};

use super::Audit;
use crate::backend::RecordedRequest;
use crate::load::Call;
use crate::run::Run;
use crate::store_values::version_of;

/// All runs of a stream, over the attempts of its caller, are on servers of one version once it has
/// had an event.
pub(super) fn check(
    audit: &mut Audit,
    calls: &[Call],
    by_id: &HashMap<&str, Vec<&RecordedRequest>>,
) {
    for call in calls.iter().filter(|call| call.kind == "resume") {
        let first = call.first.as_ref().unwrap_or(&call.id);
        let runs_of = |id: &str| {
            let runs = by_id.get(id).into_iter().flatten();
            runs.filter(|run| run.executed)
                .map(|run| (run.after.unwrap_or(0), version_of(&run.server)))
                .collect::<Vec<_>>()
        };
        let begun = runs_of(first).into_iter().filter(|(after, _)| *after == 0);
        let begun: Vec<&str> = begun.map(|(_, version)| version).collect();
        for (after, version) in runs_of(&call.id) {
            if after > 0 {
                audit.check("version of a stream", begun.contains(&version), || {
                    format!("{version} after event {after}, begun on {begun:?}: {call:?}")
                });
            }
        }
        if call.first.is_some() {
            // Only counted: a resumption may be refused.
            let guarantee = match call.status {
                200 => "resumptions that went on",
                0 => "resumptions without a response",
                _ => "resumptions refused",
            };
            audit.check(guarantee, true, String::new);
        }
    }
}

/// Over all attempts of its caller, the events of a stream are from servers of one version.
pub(super) fn check_received(audit: &mut Audit, calls: &[Call]) {
    let mut streams: HashMap<&str, Vec<&Call>> = HashMap::new();
    for call in calls.iter().filter(|call| call.kind == "resume") {
        let first = call.first.as_ref().unwrap_or(&call.id);
        streams.entry(first).or_default().push(call);
    }
    for (first, attempts) in streams {
        let servers = attempts.iter().flat_map(|call| call.event_servers());
        let versions: BTreeSet<&str> = servers.map(version_of).collect();
        audit.check("version over all attempts", versions.len() <= 1, || {
            format!("{first}: {attempts:?}")
        });
    }
}

/// Minimum number of streams of a sample.
const MIN_SAMPLE: usize = 12;

/// Minimum number of servers of its version at which a resumed stream counts.
const MIN_SERVING: usize = 2;

/// Streams that callers resume go on half as often at least as new ones begin.
pub(super) fn check_share(audit: &mut Audit, run: &Run, calls: &[Call]) {
    let is_in_touch = |call: &&Call| {
        let (from, to) = (call.sent_at, call.ended_at);
        call.kind == "resume" && run.fault_log.has_current_config(call.gateway, from, to)
    };
    let in_touch = calls.iter().filter(is_in_touch);
    let (resumed, new): (Vec<&Call>, Vec<&Call>) = in_touch.partition(|call| call.first.is_some());
    let resumed = resumed
        .into_iter()
        .filter(|call| call.serving >= MIN_SERVING);
    let resumed: Vec<&Call> = resumed.collect();
    compare(audit, "share of resumptions", &resumed, &new);
}

/// The same, after each loss of all gateways, of the streams that their callers left before it.
pub(super) fn check_lost(
    audit: &mut Audit,
    run: &Run,
    calls: &[Call],
    calls_by_id: &HashMap<&str, &Call>,
) {
    let losses = run.losses.lock().clone();
    for (index, (begin, end)) in losses.iter().enumerate() {
        let next = losses.get(index + 1).map(|(next, _)| *next);
        let is_after = |call: &&Call| {
            let (from, to) = (call.sent_at, call.ended_at);
            let is_between = from > *end && next.is_none_or(|next| to < next);
            call.kind == "resume" && is_between && run.fault_log.is_in_touch(call.gateway, from, to)
        };
        let after = calls.iter().filter(is_after);
        let (resumed, new): (Vec<&Call>, Vec<&Call>) = after.partition(|call| call.first.is_some());
        let was_begun = |call: &&Call| {
            let first = call.first.as_ref().and_then(|id| calls_by_id.get(&**id));
            first.is_some_and(|first| first.ended_at < *begin) && call.serving >= MIN_SERVING
        };
        let resumed: Vec<&Call> = resumed.into_iter().filter(was_begun).collect();
        compare(audit, "share of resumptions after a loss", &resumed, &new);
    }
}

fn compare(audit: &mut Audit, guarantee: &'static str, resumed: &[&Call], new: &[&Call]) {
    if resumed.len() < MIN_SAMPLE || new.len() < MIN_SAMPLE {
        return;
    }
    let begun = |calls: &[&Call]| calls.iter().filter(|call| call.has_begun()).count();
    let (continued, started) = (begun(resumed), begun(new));
    // Half of the share, as products, which are exact.
    let holds = 2 * continued * new.len() >= started * resumed.len();
    audit.check(guarantee, holds, || {
        format!(
            "{continued} of {} go on, {started} of {} new ones begin",
            resumed.len(),
            new.len()
        )
    });
}
