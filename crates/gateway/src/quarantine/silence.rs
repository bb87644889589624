//! Detection of servers that fell silent while running requests.
//!
//! A machine that goes dark breaks no connection. A request that gets no response from it is
//! evidence only if the server has sent nothing to any request since, and accepts no connection.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep};

use super::probe::{Reply, probe};
use super::record_crash;
use super::run::Run;
use crate::backend::{Backend, InFlight, Liveness};
use crate::call::Call;
use crate::clock;
use crate::core::Core;

/// Shortest time without a response that counts as silence, in milliseconds. Streams send events
/// several times as often.
const MIN_SILENCE_MS: u64 = 100;

/// Delay after which the server of an abandoned request is checked.
const ABANDONED_CHECK_DELAY: Duration = Duration::from_millis(400);

/// Probes of a silent server. A single lost packet must not count as a crash.
const PROBES: u32 = 2;

/// Time for which a successful probe of a silent server is reused, in milliseconds. Servers with
/// long prompts are silent again and again.
const ALIVE_TTL_MS: u64 = 500;

/// Time in which a server has sent nothing although it runs a request.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// Its start, in milliseconds of the boot clock.
    since_ms: u64,
    /// Its length so far, in milliseconds.
    length_ms: u64,
}

impl Silence {
    /// Returns the silence of a server since a request was sent; `None` if it responded recently.
    fn of(backend: &Backend, sent_at: Instant) -> Option<Self> {
        let now_ms = clock::now_ms();
        let sent_ms = now_ms.saturating_sub(clock::between_ms(sent_at, Instant::now()));
        let since_ms = sent_ms.max(backend.heard_ms());
        let length_ms = now_ms.saturating_sub(since_ms);
        (length_ms >= MIN_SILENCE_MS).then_some(Self {
            since_ms,
            length_ms,
        })
    }
}

/// Whether the server of a request is silent.
fn is_silent(in_flight: &InFlight) -> bool {
    Silence::of(&in_flight.backend, in_flight.sent_at).is_some()
}

/// Checks whether the server of a request crashed, if it is silent.
pub(crate) async fn check_silence(core: &Arc<Core>, call: &Call, in_flight: &InFlight) {
    if is_silent(in_flight) {
        check(core, &Run::new(call, in_flight)).await;
    }
}

/// As [`check_silence`], in the background.
pub(crate) fn spawn_silence_check(core: &Arc<Core>, call: &Call, in_flight: &InFlight) {
    if is_silent(in_flight) {
        let (core, run) = (Arc::clone(core), Run::new(call, in_flight));
        tokio::spawn(async move { check(&core, &run).await });
    }
}

/// As [`check_silence`], some time after a request was abandoned.
pub(crate) fn record_abandoned(core: &Arc<Core>, call: &Call, in_flight: &InFlight) {
    if is_silent(in_flight) {
        spawn_delayed_check(core, Run::new(call, in_flight));
    }
}

fn spawn_delayed_check(core: &Arc<Core>, run: Run) {
    // There is no runtime while the process exits.
    let Ok(runtime) = Handle::try_current() else {
        return;
    };
    let core = Arc::clone(core);
    runtime.spawn(async move {
        sleep(ABANDONED_CHECK_DELAY).await;
        check(&core, &run).await;
    });
}

async fn check(core: &Arc<Core>, run: &Run) {
    let backend = &run.backend;
    let Some(Silence { since_ms, .. }) = Silence::of(backend, run.sent_at) else {
        return;
    };
    // One that is leaving may end at any time.
    if backend.has_left() {
        return;
    }
    let mut liveness = backend.liveness.lock().await;
    let has_crashed = liveness.has_crashed_since(run.sent_at);
    if !has_crashed && liveness.is_down(backend.heard_ms()) {
        // It crashed before the request was sent.
        return;
    }
    let has_crashed = has_crashed || is_unreachable(core, run, &mut liveness).await;
    let instance = liveness.instance_id(backend.server.id, !has_crashed);
    drop(liveness);
    run.record_failure(core, instance, since_ms, true);
    if has_crashed {
        record_crash(core, instance, backend);
    }
}

/// Whether a silent server refuses connections or does not respond to them.
async fn is_unreachable(core: &Core, run: &Run, liveness: &mut Liveness) -> bool {
    for _ in 0..PROBES {
        match probe(core, &run.backend, liveness, ALIVE_TTL_MS).await {
            Reply::Crashed => return true,
            Reply::Accepted | Reply::Unknown => return false,
            Reply::Nothing => {}
        }
    }
    liveness.record_crash(Instant::now());
    log!(core.logger, Event::ServerSilent,
        "server" => &run.backend.server.name,
        "digest" => run.digest.to_string(),
        "silent_ms" => Silence::of(&run.backend, run.sent_at).map(|silence| silence.length_ms));
    true
}

/// Watches a request from its sending to the head of its response. If it is dropped before, the
/// request was abandoned, and its server is checked some time later.
#[derive(Debug)]
pub(crate) struct Watch {
    core: Arc<Core>,
    call: Arc<Call>,
    backend: Arc<Backend>,
    sent_at: Instant,
    is_resolved: bool,
}

impl Watch {
    pub(crate) fn start(core: &Arc<Core>, call: &Arc<Call>, in_flight: &InFlight) -> Self {
        Self {
            core: Arc::clone(core),
            call: Arc::clone(call),
            backend: Arc::clone(&in_flight.backend),
            sent_at: in_flight.sent_at,
            is_resolved: false,
        }
    }

    /// Ends the watch, as the server responded or the failure has been recorded.
    pub(crate) fn resolve(mut self) {
        self.is_resolved = true;
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        if Silence::of(&self.backend, self.sent_at).is_some() {
            let run = Run::sent(&self.call, &self.backend, self.sent_at);
            spawn_delayed_check(&self.core, run);
        }
    }
}
