//! Proof that a server lived on after an answer that ended with its connection.

pub(crate) mod health_check;

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use hyper::http::uri::PathAndQuery;
use mulberryyoke_decide::survival::{Mark, Survival as Marks, Verdict};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::backend::{Backend, InFlight};
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::protocol::Identity;

/// Time after the end of an answer within which proof is awaited, in milliseconds. Callers abandon a
/// stream after a pause of two seconds.
const PROOF_TIMEOUT_MS: u64 = 2_000;

/// What is known of a server instance at the ends of its connections.
#[derive(Debug, Default)]
pub(crate) struct Survival {
    marks: Mutex<Marks>,
    /// Path of the health check, once it is known. A service may be removed while its requests run.
    health_path: OnceLock<PathAndQuery>,
    /// Whether a health check is under way, which all waiting answers share.
    is_checked: AtomicBool,
    changed: Notify,
}

impl Survival {
    /// Returns the mark of a request that is about to be sent, or of an end that was just observed.
    pub(crate) fn mark(&self) -> Mark {
        self.marks.lock().mark()
    }

    /// Records which instance sent the response to a request sent at `sent`.
    pub(crate) fn record_identity(&self, sent: Mark, identity: Identity) {
        match identity {
            Identity::Intended => self.marks.lock().record_answer(sent),
            Identity::Other => self.marks.lock().record_gone(sent),
            Identity::Unknown => return,
        }
        self.changed.notify_waiters();
    }

    /// Records that a connection attempt begun at `sent` was refused.
    fn record_refusal(&self, sent: Mark) {
        self.record_identity(sent, Identity::Other);
    }

    fn verdict(&self, end: Mark) -> Verdict {
        self.marks.lock().verdict(end)
    }
}

/// Returns whether an answer whose body has ended without an error is whole. One that ends with its
/// connection is if its server [is proven](is_proven) to live on.
pub(crate) async fn is_whole(
    core: &Arc<Core>,
    call: &Call,
    in_flight: &InFlight,
    retry_at: Option<Instant>,
) -> bool {
    let answer = in_flight.answer();
    !answer.is_some_and(|answer| answer.ends_with_connection())
        || is_proven(core, call, &in_flight.backend, retry_at).await
}

/// Returns whether the server of an answer that has just ended with its connection is proven to live
/// on, before the deadline of the request and before `retry_at`, if another server is tried then.
pub(crate) async fn is_proven(
    core: &Arc<Core>,
    call: &Call,
    backend: &Arc<Backend>,
    retry_at: Option<Instant>,
) -> bool {
    let end = backend.survival.mark();
    let latest = clock::after(Instant::now(), call.remaining_ms().min(PROOF_TIMEOUT_MS));
    let deadline = retry_at.map_or(latest, |retry_at| retry_at.min(latest));
    let verdict = timeout_at(deadline, prove(core, backend, end)).await;
    let verdict = verdict.unwrap_or(Verdict::Unknown);
    metrics::counter!("connection_ends_total", "server" => label(verdict)).increment(1);
    verdict == Verdict::Survived
}

/// Label of a verdict in metrics.
const fn label(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Survived => "survived",
        Verdict::Gone => "gone",
        Verdict::Unknown => "unknown",
    }
}

/// Waits for proof of what became of a server after an end.
async fn prove(core: &Arc<Core>, backend: &Arc<Backend>, end: Mark) -> Verdict {
    let survival = &backend.survival;
    loop {
        let mut changed = pin!(survival.changed.notified());
        changed.as_mut().enable();
        let verdict = survival.verdict(end);
        if verdict != Verdict::Unknown {
            return verdict;
        }
        spawn_check(core, backend);
        changed.await;
    }
}

/// Spawns a health check, unless one is under way.
fn spawn_check(core: &Arc<Core>, backend: &Arc<Backend>) {
    if backend.survival.is_checked.swap(true, Ordering::AcqRel) {
        return;
    }
    let (core, backend) = (Arc::clone(core), Arc::clone(backend));
    tokio::spawn(async move {
        health_check::run(&core, &backend).await;
        backend.survival.is_checked.store(false, Ordering::Release);
        // Answers that ended after the check was sent need another one.
        backend.survival.changed.notify_waiters();
    });
}
