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
    let (backend, sent_at) = (Arc::clone(&in_flight.backend), in_flight.sent_at);
    let began_at = in_flight.began_ms();
    tokio::spawn(async move {
        sleep(CONFIRMATION_DELAY).await;
        let was_heard = backend.heard_ms() > at + TRANSIT_MS;
        let is_alive = was_heard || backend.conns.has_idle() || {
            let run = Run::sent(&call, &backend, sent_at).begun(began_at);
            probe::is_alive_after(&core, &run, at).await
        };
        if is_alive {
            clear(&core, &call, &backend, at, is_written);
        }
    });
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
