//! Checks of single streams, as their callers received them.

use super::Audit;
use crate::answer::{EVENTS_PER_STREAM, Framing};
use crate::backend::RecordedRequest;
use crate::fault_log::Scope;
use crate::load::{Call, Completion};
use crate::run::Run;
use crate::store_values::version_of;

/// A stream has all events in order, without gaps or duplicates, from servers of one version, and
/// looks whole only after the last one.
pub(super) fn check(audit: &mut Audit, run: &Run, call: &Call, attempts: &[&RecordedRequest]) {
    if call.status != 200 || !matches!(call.kind, "stream" | "resume") {
        return;
    }
    let ids = call.event_ids();
    let last = call.after + ids.len() as u64;
    let in_order = ids.iter().copied().eq(call.after + 1..=last);
    audit.check("event order", in_order, || format!("{call:?}"));
    let mut versions = call.event_servers().map(version_of);
    let first = versions.next();
    let is_of_one = versions.all(|version| Some(version) == first);
    audit.check("version of an answer", is_of_one, || format!("{call:?}"));
    let is_whole = call.completion != Completion::Complete || last == EVENTS_PER_STREAM;
    let may_look_whole =
        is_whole || is_closed_by_server(run, call, attempts) || is_killed(run, call);
    audit.check("end after the last event", may_look_whole, || {
        format!("{:?}: {call:?}", framing(call, attempts))
    });
}

/// Whether a server that lives on closed the connection in order during a stream that ends with it.
fn is_closed_by_server(run: &Run, call: &Call, attempts: &[&RecordedRequest]) -> bool {
    let is_free = |index| {
        let scope = Scope::ServerClose(index);
        run.fault_log
            .is_fault_free(scope, call.sent_at, call.ended_at)
    };
    let server = last_server(call, attempts);
    let index = server.and_then(|name| run.server_index(name));
    framing(call, attempts).is_some_and(Framing::is_bare) && index.is_some_and(|it| !is_free(it))
}

/// Whether the gateway of a caller that has no chunks was killed. Its connections then end as they do
/// after whole answers.
fn is_killed(run: &Run, call: &Call) -> bool {
    let scope = Scope::Gateway(call.gateway);
    call.is_old
        && !run
            .fault_log
            .is_fault_free(scope, call.sent_at, call.ended_at)
}

/// Name of the server that ended a stream, if it is known.
fn last_server<'a>(call: &'a Call, attempts: &[&'a RecordedRequest]) -> Option<&'a str> {
    let executed = attempts.iter().rev().find(|attempt| attempt.executed);
    let recorded = executed.map(|attempt| &*attempt.server);
    recorded.or_else(|| call.event_servers().last())
}

/// Framing of the server's answer, if the server is known.
fn framing(call: &Call, attempts: &[&RecordedRequest]) -> Option<Framing> {
    let executed = attempts.iter().rev().find(|attempt| attempt.executed);
    let recorded = executed.map(|attempt| attempt.framing);
    recorded.or_else(|| {
        let server = call.event_servers().last()?;
        Some(Framing::draw(&call.id, server, true))
    })
}
