//! What servers said of themselves, held against what they were sent.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Audit, DRAIN, SLACK};
use crate::backend::RecordedRequest;
use crate::fault_log::Scope;
use crate::load::Call;
use crate::run::Run;

/// Time after a server asked for rest in which requests that were on their way may reach it.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Requests that may reach it from then until the end of its rest.
const MOST_IN_REST: usize = 2;

/// A gateway that has passed on a server's word that it leaves sends it nothing new, in touch or
/// not.
pub(super) fn leaving(
    audit: &mut Audit,
    run: &Run,
    asked: &HashMap<&str, &Call>,
    recorded: &[RecordedRequest],
) {
    let mut told: HashMap<(usize, &str), Instant> = HashMap::new();
    let said = recorded.iter().filter(|request| request.is_leaving);
    for request in said {
        let Some(call) = asked.get(&*request.id).filter(|call| call.is_sealed) else {
            continue;
        };
        let at = told
            .entry((call.gateway, &request.server))
            .or_insert(call.ended_at);
        *at = call.ended_at.min(*at);
    }
    for request in recorded {
        let Some(call) = asked.get(&*request.id) else {
            continue;
        };
        let Some(&at) = told.get(&(call.gateway, &*request.server)) else {
            continue;
        };
        let is_late = call.sent_at > at + DRAIN + SLACK && request.executed;
        let breaks = is_late
            && run
                .fault_log
                .is_fault_free(Scope::Gateway(call.gateway), at, request.received_at);
        audit.check("server that said it leaves", !breaks, || {
            format!("told {:?} before: {request:?} {call:?}", call.sent_at - at)
        });
    }
}

/// A server that asked a gateway for rest gets hardly anything from it until that is over.
pub(super) fn rest(
    audit: &mut Audit,
    run: &Run,
    asked: &HashMap<&str, &Call>,
    recorded: &[RecordedRequest],
) {
    let gateway_of = |request: &RecordedRequest| asked.get(&*request.id).map(|call| call.gateway);
    for request in recorded {
        let (Some(rest), Some(gateway)) = (request.pushback, gateway_of(request)) else {
            continue;
        };
        let (from, to) = (request.received_at + ON_THE_WAY, request.received_at + rest);
        // An answer that did not come through said nothing.
        let before = request
            .received_at
            .checked_sub(ON_THE_WAY)
            .unwrap_or(request.received_at);
        let mut scopes = run
            .server_scope(request.address)
            .into_iter()
            .chain([Scope::Gateway(gateway)]);
        if !scopes.all(|scope| run.fault_log.is_fault_free(scope, before, to)) {
            continue;
        }
        let came = recorded.iter().filter(|other| {
            other.server == request.server
                && (from..to).contains(&other.received_at)
                && gateway_of(other) == Some(gateway)
        });
        let count = came.count();
        audit.check(
            "rest that a server asked for",
            count <= MOST_IN_REST,
            || format!("{count} requests: {request:?}"),
        );
    }
}
