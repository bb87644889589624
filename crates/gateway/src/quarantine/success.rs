//! Requests that ran without a crash.

use std::sync::Arc;

use mulberryyoke_decide::quarantine::CONVICTION_THRESHOLD;

use super::run::Run;
use super::{Culprit, conviction, log_cleared, parts, probe};
use crate::backend::{Backend, InFlight};
use crate::call::Call;
use crate::core::Core;
use crate::{clock, survival};

/// Records that a request got a complete answer. One that ends with its connection looks complete as
/// well if its server has crashed, so the server must be proven to live on first.
pub(crate) fn record_success(core: &Arc<Core>, call: &Arc<Call>, in_flight: &InFlight) {
    let answer = in_flight.answer();
    if !answer.is_some_and(|answer| answer.ends_with_connection()) {
        return record_proven_success(core, call, in_flight);
    }
    let is_written = answer.is_some_and(|answer| answer.is_success);
    let (core, call, at) = (Arc::clone(core), Arc::clone(call), clock::now_ms());
    let run = Run::new(&call, in_flight);
    tokio::spawn(async move {
        if survival::is_proven(&core, &call, &run.backend, None).await {
            clear(&core, &call, &run.backend, at, is_written);
        } else {
            probe::record_run_failure(&core, &run, at).await;
        }
    });
}

/// As [`record_success`], for an answer that is known to be complete.
pub(crate) fn record_proven_success(core: &Arc<Core>, call: &Call, in_flight: &InFlight) {
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
