//! Learning whether a server has ended where a request broke off.

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

/// Longest time that a broken request waits to know what became of its server: servers are
/// milliseconds away, and one that is gone refuses at once. A machine that does not answer says
/// nothing yet; that its registration lapses will.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a server that took a connection counts as alive for others that broke off
/// there, in milliseconds.
const ALIVE_TTL_MS: u64 = 100;

/// Notes that a request broke off at a server, and learns whether the server has ended: a new
/// connection is refused then. A server that leaves as planned ends with what it runs, which is
/// no evidence.
pub(crate) async fn record_failure(core: &Arc<Core>, call: &Call, running: &InFlight) {
    let backend = &running.backend;
    if backend.is_closed() {
        return;
    }
    let digest = call.digest();
    let mut seen = backend.liveness.lock().await;
    let has_ended =
        seen.has_crashed_since(running.sent_at) || probe(core, backend, &mut seen).await;
    let life = seen.instance_id(backend.server.id, !has_ended);
    drop(seen);
    core.quarantine
        .update(|records| records.record_failure(life, digest, clock::now_ms()));
    if has_ended {
        record_crash(core, life, &backend.server.name);
    }
}

/// Notes that a server's registration has ended, or that another life has taken its place.
pub(crate) async fn record_lapse(core: Arc<Core>, backend: Arc<Backend>) {
    let life = backend
        .liveness
        .lock()
        .await
        .instance_id(backend.server.id, true);
    record_crash(&core, life, &backend.server.name);
}

/// Whether a server's life has ended. It is asked once for all that broke off there at a time.
async fn probe(core: &Core, backend: &Backend, seen: &mut Liveness) -> bool {
    let now = Instant::now();
    let is_alive = seen
        .last_alive
        .is_some_and(|at| clock::between_ms(at, now) < ALIVE_TTL_MS);
    if is_alive {
        return false;
    }
    match timeout(PROBE_TIMEOUT, backend.conns.connect()).await {
        Ok(Ok(conn)) => {
            seen.last_alive = Some(Instant::now());
            backend.conns.release(conn, None);
            false
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            seen.record_crash(Instant::now());
            log!(core.logger, Event::ServerCrashed, "server" => &backend.server.name);
            true
        }
        // It says nothing of the server's life.
        Ok(Err(_)) | Err(_) => false,
    }
}
