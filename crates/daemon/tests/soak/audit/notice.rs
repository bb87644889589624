//! What servers said of themselves, held against what they were sent.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Audit, DRAIN, SLACK};
use crate::backend::RecordedRequest;
use crate::fault_log::Scope;
use crate::load::Record;
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
    asked: &HashMap<&str, &Record>,
    arrivals: &[RecordedRequest],
) {
    let mut told: HashMap<(usize, &str), Instant> = HashMap::new();
    let said = arrivals.iter().filter(|arrival| arrival.is_leaving);
    for arrival in said {
        let Some(record) = asked.get(&*arrival.id).filter(|record| record.is_sealed) else {
            continue;
        };
        let at = told
            .entry((record.gateway, &arrival.server))
            .or_insert(record.ended);
        *at = record.ended.min(*at);
    }
    for arrival in arrivals {
        let Some(record) = asked.get(&*arrival.id) else {
            continue;
        };
        let Some(&at) = told.get(&(record.gateway, &*arrival.server)) else {
            continue;
        };
        let is_late = record.sent > at + DRAIN + SLACK && arrival.executed;
        let breaks = is_late
            && run
                .fault_log
                .is_fault_free(Scope::Gateway(record.gateway), at, arrival.received_at);
        audit.check("server that said it leaves", !breaks, || {
            format!("told {:?} before: {arrival:?} {record:?}", record.sent - at)
        });
    }
}

/// A server that asked a gateway for rest gets hardly anything from it until that is over.
pub(super) fn rest(
    audit: &mut Audit,
    run: &Run,
    asked: &HashMap<&str, &Record>,
    arrivals: &[RecordedRequest],
) {
    let gateway_of =
        |arrival: &RecordedRequest| asked.get(&*arrival.id).map(|record| record.gateway);
    for arrival in arrivals {
        let (Some(rest), Some(gateway)) = (arrival.pushback, gateway_of(arrival)) else {
            continue;
        };
        let (from, to) = (arrival.received_at + ON_THE_WAY, arrival.received_at + rest);
        // An answer that did not come through said nothing.
        let before = arrival
            .received_at
            .checked_sub(ON_THE_WAY)
            .unwrap_or(arrival.received_at);
        let mut scopes = run
            .server_scope(arrival.address)
            .into_iter()
            .chain([Scope::Gateway(gateway)]);
        if !scopes.all(|scope| run.fault_log.is_fault_free(scope, before, to)) {
            continue;
        }
        let came = arrivals.iter().filter(|other| {
            other.server == arrival.server
                && (from..to).contains(&other.received_at)
                && gateway_of(other) == Some(gateway)
        });
        let count = came.count();
        audit.check(
            "rest that a server asked for",
            count <= MOST_IN_REST,
            || format!("{count} requests: {arrival:?}"),
        );
    }
}
