//! Requests that ran without a crash.

use std::sync::Arc;

use mulberryyoke_decide::quarantine::CONVICTION_THRESHOLD;

use super::{Culprit, conviction, log_cleared, parts};
use crate::backend::{Backend, InFlight};
use crate::call::Call;
use crate::clock;
use crate::core::Core;

/// Records that a request got a complete answer.
pub(crate) fn record_success(core: &Arc<Core>, call: &Call, in_flight: &InFlight) {
    let answer = in_flight.answer();
    let is_written = answer.is_some_and(|answer| answer.is_success);
    clear(core, call, &in_flight.backend, clock::now_ms(), is_written);
}

/// Clears a request that ran on a server without a crash until `at`, and, if its answer
/// `is_written`, its prompt's parts: a server that fails for another reason has not begun on them.
fn clear(core: &Arc<Core>, call: &Call, backend: &Backend, at: u64, is_written: bool) {
    if is_written {
        parts::record_run(core, call, backend, at);
    }
    if core.quarantine.is_empty() {
        return;
    }
    let digest = call.digest();
    let version = backend.server.version;
    let crashes_before = core
        .quarantine
        .update(|records| records.record_success(digest, version, at));
    if crashes_before == 0 {
        return;
    }
    log_cleared(core, digest, crashes_before, "ended well");
    if crashes_before >= CONVICTION_THRESHOLD {
        conviction::write(core, Culprit::Request(digest));
    }
}
