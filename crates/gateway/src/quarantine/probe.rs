//! Detection of crashed servers after failed requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::ServerId;
use tokio::time::{Instant, timeout};

use super::record_crash;
use super::run::Run;
use crate::backend::{Backend, InFlight, Liveness};
use crate::call::Call;
use crate::clock;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::failure::log_broken_run;
use crate::protocol::Identity;
use crate::survival::health_check;

/// Timeout of a probe. A crashed server refuses connections within milliseconds. If the machine
/// does not respond, its registration lapses later.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a successful probe is reused for other failed requests, in milliseconds.
const ALIVE_TTL_MS: u64 = 100;

/// Records that a request failed at a server, and probes whether the server crashed. Failures at a
/// server that is leaving are ignored, as it may exit with requests in flight.
pub(crate) async fn record_failure(core: &Arc<Core>, call: &Call, in_flight: &InFlight) {
    let run = Run::new(call, in_flight);
    if run.backend.has_left() {
        log!(core.logger, Event::CrashNotCounted,
            "server" => &run.backend.server.name,
            "why" => "leaving",
            "digest" => run.digest.to_string());
        return;
    }
    let (instance, reply) = probe_after(core, &run, ALIVE_TTL_MS).await;
    log_broken_run(core, call, in_flight, reply == Reply::Crashed);
    record(core, &run, (instance, reply), clock::now_ms());
}

/// Probes the server of a run that has ended. Returns the ID of the instance that ran it. A
/// successful probe is reused for `alive_ttl_ms`.
async fn probe_after(core: &Core, run: &Run, alive_ttl_ms: u64) -> (ServerId, Reply) {
    let mut liveness = run.backend.liveness.lock().await;
    let reply = if liveness.has_crashed_since(run.sent_at) {
        Reply::Crashed
    } else {
        probe(core, &run.backend, &mut liveness, alive_ttl_ms).await
    };
    let is_next = reply != Reply::Crashed;
    (liveness.instance_id(run.backend.server.id, is_next), reply)
}

/// Records a run that failed at `at`.
fn record(core: &Arc<Core>, run: &Run, (instance, reply): (ServerId, Reply), at: u64) {
    run.record_failure(core, instance, at, false);
    if reply == Reply::Crashed {
        record_crash(core, instance, &run.backend);
    }
}

/// Records that the registration of a server lapsed or was replaced by that of another instance.
pub(crate) async fn record_lapse(core: Arc<Core>, backend: Arc<Backend>) {
    let instance = backend
        .liveness
        .lock()
        .await
        .instance_id(backend.server.id, true);
    record_crash(&core, instance, &backend);
}

/// Stops new requests to a server at whose address another instance was found. If it had not left, it
/// has crashed.
pub(crate) fn record_replacement(core: &Arc<Core>, backend: &Arc<Backend>) {
    if backend.close_replaced() {
        tokio::spawn(record_lapse(Arc::clone(core), Arc::clone(backend)));
    }
}

/// How a server reacts to a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    Accepted,
    /// No process listens, or the next one does, so the server has crashed.
    Crashed,
    /// The machine does not respond.
    Nothing,
    /// The attempt failed for another reason, which shows nothing.
    Unknown,
}

/// Connects to a server. Concurrent failures share one probe, and a successful one is reused for
/// `alive_ttl_ms`.
pub(super) async fn probe(
    core: &Core,
    backend: &Backend,
    liveness: &mut Liveness,
    alive_ttl_ms: u64,
) -> Reply {
    let now = Instant::now();
    let is_alive = liveness
        .last_alive
        .is_some_and(|at| clock::between_ms(at, now) < alive_ttl_ms);
    if is_alive {
        return Reply::Accepted;
    }
    match timeout(PROBE_TIMEOUT, backend.conns.connect()).await {
        Ok(Ok(conn)) => {
            let is_replaced = is_replaced(core, backend, conn).await;
            // One that is known to have crashed has ended, and its successor lives.
            if is_replaced && liveness.last_crash.is_none() {
                return record_server_crash(core, backend, liveness);
            }
            liveness.last_alive = Some(Instant::now());
            Reply::Accepted
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            record_server_crash(core, backend, liveness)
        }
        Ok(Err(_)) => Reply::Unknown,
        Err(_) => Reply::Nothing,
    }
}

/// Whether another instance answers on this connection. One that doesn't answer soon has no room for
/// the question, which shows nothing.
async fn is_replaced(core: &Core, backend: &Backend, conn: Connection) -> bool {
    let identity = health_check::exchange(core, backend, conn);
    timeout(PROBE_TIMEOUT, identity).await == Ok(Identity::Other)
}

fn record_server_crash(core: &Core, backend: &Backend, liveness: &mut Liveness) -> Reply {
    liveness.record_crash(Instant::now());
    log!(core.logger, Event::ServerCrashed, "server" => &backend.server.name);
    Reply::Crashed
}
