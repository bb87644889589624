//! Checks of a part of prompts that crashes servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Audit;
use crate::backend::RecordedRequest;
use crate::fault_log::Scope;
use crate::load::Call;
use crate::run::Run;

/// Number of crashes after which the part is to be known.
const CRASHES: usize = 5;

/// Time for all gateways in touch to learn of a crash.
const CONTACT: Duration = Duration::from_secs(3);

/// Maximum requests with the part that reach servers later than that after the last of these
/// crashes.
const MAX_REACHED: usize = 3;

/// Minimum number of sound requests of a sample.
const MIN_SAMPLE: usize = 20;

/// Few requests with the part reach servers, and sound ones that share its other parts begin half
/// as often as before at least.
pub(super) fn check(
    audit: &mut Audit,
    run: &Run,
    calls: &[Call],
    calls_by_id: &HashMap<&str, &Call>,
    recorded: &[RecordedRequest],
) {
    let crashes = run.crashes();
    let (Some(&first), Some(&last)) = (crashes.first(), crashes.iter().take(CRASHES).next_back())
    else {
        return;
    };
    let known_at = last + CONTACT;
    if crashes.len() >= CRASHES {
        let is_late = |request: &&RecordedRequest| {
            let call = calls_by_id.get(&*request.id);
            let is_in_touch = call.is_some_and(|call| is_in_touch(run, call));
            request.is_bad && request.executed && request.received_at > known_at && is_in_touch
        };
        let reached = recorded.iter().filter(is_late).count();
        audit.check("part that crashes servers", reached <= MAX_REACHED, || {
            format!("{reached} requests later, {} crashes", crashes.len())
        });
    }
    let before = sample(run, calls, |at| at < first);
    let later = sample(run, calls, |at| at > known_at + CONTACT);
    if before.sent < MIN_SAMPLE || later.sent < MIN_SAMPLE {
        return;
    }
    // Half of the share, as products, which are exact.
    let holds = 2 * later.begun * before.sent >= before.begun * later.sent;
    audit.check("sound requests beside such a part", holds, || {
        format!("later {later:?}, before {before:?}")
    });
}

/// Whether nothing has kept the gateway of a call from the others for some time.
fn is_in_touch(run: &Run, call: &Call) -> bool {
    let from = call.sent_at.checked_sub(CONTACT).unwrap_or(call.sent_at);
    let scopes = [
        Scope::Gateway(call.gateway),
        Scope::StoreConnection(call.gateway),
        Scope::Store,
    ];
    let is_free = |scope| run.fault_log.is_fault_free(scope, from, call.ended_at);
    scopes.into_iter().all(is_free)
}

/// Sound prompts and how many of them begin.
#[derive(Debug, Default)]
struct Sample {
    sent: usize,
    begun: usize,
}

/// Sound prompts that were sent at some time to gateways in touch.
fn sample(run: &Run, calls: &[Call], is_in_time: impl Fn(Instant) -> bool) -> Sample {
    let is_sampled = |call: &&Call| {
        let is_sound = matches!(call.kind, "stream" | "resume") && !call.is_bad;
        is_sound && call.first.is_none() && is_in_time(call.sent_at) && is_in_touch(run, call)
    };
    let mut sample = Sample::default();
    for call in calls.iter().filter(is_sampled) {
        sample.sent += 1;
        sample.begun += usize::from(call.has_begun());
    }
    sample
}
