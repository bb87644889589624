//! Requests that ran without a crash.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_decide::quarantine::CONVICTION_THRESHOLD;
use tokio::time::sleep;

use super::run::Run;
use super::{Culprit, conviction, log_cleared, parts, probe};
use crate::backend::{Backend, InFlight};
use crate::call::Call;
use crate::clock;
use crate::core::Core;

/// Delay after which a server must have been heard again whose answer ended with its connection.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);

/// Time after the end of an answer within which something received may have been sent before it, in
/// milliseconds.
const TRANSIT_MS: u64 = 50;

/// Records that a request got a complete answer. One that ends with its connection looks complete as
/// well if its server has crashed, so the server must be seen to live on first.
pub(crate) fn record_success(core: &Arc<Core>, call: &Arc<Call>, in_flight: &InFlight) {
    let answer = in_flight.answer();
    let is_written = answer.is_some_and(|answer| answer.is_success);
    if !answer.is_some_and(|answer| answer.ends_with_connection()) {
        return clear(core, call, &in_flight.backend, clock::now_ms(), is_written);
    }
    let (core, call, at) = (Arc::clone(core), Arc::clone(call), clock::now_ms());
    let run = Run::new(&call, in_flight);
    tokio::spawn(async move {
        let is_alive =
            is_seen_after(&run.backend, at).await || probe::is_alive_after(&core, &run, at).await;
        if is_alive {
            clear(&core, &call, &run.backend, at, is_written);
        }
    });
}

/// Whether the server of a request lives on after an answer that has just ended with its connection.
/// One that is leaving may exit at any time, which is no crash.
pub(crate) async fn has_survived(core: &Core, call: &Call, in_flight: &InFlight) -> bool {
    let run = Run::new(call, in_flight);
    is_seen_after(&run.backend, clock::now_ms()).await || probe::is_alive(core, &run).await
}

/// Whether a server is heard, or keeps its connections, for a short time after `at`.
async fn is_seen_after(backend: &Backend, at: u64) -> bool {
    sleep(CONFIRMATION_DELAY).await;
    backend.heard_ms() > at + TRANSIT_MS || backend.conns.has_idle()
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
