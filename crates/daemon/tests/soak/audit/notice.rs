//! Checks of leaving announcements and pushback in responses of servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Audit, DRAIN_DELAY, TOLERANCE};
use crate::backend::RecordedRequest;
use crate::fault_log::Scope;
use crate::load::Call;
use crate::run::Run;

/// Time after a pushback in which requests already sent may arrive.
const IN_FLIGHT: Duration = Duration::from_millis(500);

/// Maximum requests to a server from then until the end of the pushback.
const MAX_DURING_PUSHBACK: usize = 2;

/// A gateway that has forwarded a leaving announcement sends the server no new requests, even
/// without a connection to the store.
pub(super) fn check_leaving(
    audit: &mut Audit,
    run: &Run,
    calls_by_id: &HashMap<&str, &Call>,
    recorded: &[RecordedRequest],
) {
    let mut announced: HashMap<(usize, &str), Instant> = HashMap::new();
    for request in recorded.iter().filter(|request| request.is_leaving) {
        let Some(call) = calls_by_id.get(&*request.id).filter(|call| call.is_sealed) else {
            continue;
        };
        let at = announced
            .entry((call.gateway, &request.server))
            .or_insert(call.ended_at);
        *at = call.ended_at.min(*at);
    }
    for request in recorded {
        let Some(call) = calls_by_id.get(&*request.id) else {
            continue;
        };
        let Some(&at) = announced.get(&(call.gateway, &*request.server)) else {
            continue;
        };
        let is_late = call.sent_at > at + DRAIN_DELAY + TOLERANCE && request.executed;
        let is_violation = is_late
            && run
                .fault_log
                .is_fault_free(Scope::Gateway(call.gateway), at, request.received_at);
        audit.check("leaving announcement", !is_violation, || {
            format!(
                "announced {:?} before: {request:?} {call:?}",
                call.sent_at - at
            )
        });
    }
}

/// A server that has pushed back gets at most a few requests from the gateway until the delay has
/// passed.
pub(super) fn check_pushback(
    audit: &mut Audit,
    run: &Run,
    calls_by_id: &HashMap<&str, &Call>,
    recorded: &[RecordedRequest],
) {
    let gateway_of =
        |request: &RecordedRequest| calls_by_id.get(&*request.id).map(|call| call.gateway);
    for request in recorded {
        let (Some(delay), Some(gateway)) = (request.pushback, gateway_of(request)) else {
            continue;
        };
        let (from, to) = (request.received_at + IN_FLIGHT, request.received_at + delay);
        // A fault before may have kept the gateway from receiving the response.
        let before = request
            .received_at
            .checked_sub(IN_FLIGHT)
            .unwrap_or(request.received_at);
        let mut scopes = run
            .server_scope(request.address)
            .into_iter()
            .chain([Scope::Gateway(gateway)]);
        if !scopes.all(|scope| run.fault_log.is_fault_free(scope, before, to)) {
            continue;
        }
        let during = recorded.iter().filter(|other| {
            other.server == request.server
                && (from..to).contains(&other.received_at)
                && gateway_of(other) == Some(gateway)
        });
        let count = during.count();
        audit.check("pushback", count <= MAX_DURING_PUSHBACK, || {
            format!("{count} requests: {request:?}")
        });
    }
}
