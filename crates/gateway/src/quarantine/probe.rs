//! Detection of crashed servers after failed requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use tokio::time::{Instant, timeout};

use super::record_crash;
use crate::backend::{Backend, InFlight, Liveness};
use crate::call::Call;
use crate::clock;
use crate::core::Core;

/// Timeout of a probe. A crashed server refuses connections within milliseconds. If the machine
/// does not respond, its registration lapses later.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a successful probe is reused for other failed requests, in milliseconds.
const ALIVE_TTL_MS: u64 = 100;

/// Records that a request failed at a server, and probes whether the server crashed. Failures at a
/// server that is leaving are ignored, as it may exit with requests in flight.
pub(crate) async fn record_failure(core: &Arc<Core>, call: &Call, in_flight: &InFlight) {
    let backend = &in_flight.backend;
    let digest = call.digest();
    if backend.is_closed() {
        log!(core.logger, Event::CrashNotCounted,
            "server" => &backend.server.name, "why" => "leaving", "digest" => digest.to_string());
        return;
    }
    let mut liveness = backend.liveness.lock().await;
    let has_crashed =
        liveness.has_crashed_since(in_flight.sent_at) || probe(core, backend, &mut liveness).await;
    let instance = liveness.instance_id(backend.server.id, !has_crashed);
    drop(liveness);
    core.quarantine
        .update(|records| records.record_failure(instance, digest, clock::now_ms()));
    if has_crashed {
        record_crash(core, instance, &backend.server.name);
    }
}

/// Records that the registration of a server lapsed or was replaced by that of another instance.
pub(crate) async fn record_lapse(core: Arc<Core>, backend: Arc<Backend>) {
    let instance = backend
        .liveness
        .lock()
        .await
        .instance_id(backend.server.id, true);
    record_crash(&core, instance, &backend.server.name);
}

/// Whether the server refuses connections, and thus has crashed. Concurrent failures share one
/// probe.
async fn probe(core: &Core, backend: &Backend, liveness: &mut Liveness) -> bool {
    let now = Instant::now();
    let is_alive = liveness
        .last_alive
        .is_some_and(|at| clock::between_ms(at, now) < ALIVE_TTL_MS);
    if is_alive {
        return false;
    }
    match timeout(PROBE_TIMEOUT, backend.conns.connect()).await {
        Ok(Ok(conn)) => {
            liveness.last_alive = Some(Instant::now());
            backend.conns.release(conn, None);
            false
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            liveness.record_crash(Instant::now());
            log!(core.logger, Event::ServerCrashed, "server" => &backend.server.name);
            true
        }
        // Other errors do not show whether the server crashed.
        Ok(Err(_)) | Err(_) => false,
    }
}
