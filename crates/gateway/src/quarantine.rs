//! Requests that end the servers which run them: what this gateway knows of them, and whether
//! a request may be sent.

mod admit;
mod conviction;
mod probe;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use mulberryyoke_decide::quarantine::{Quarantine as Records, Suspect, Verdict};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Digest, ServerId};
use mulberryyoke_platform::http::Http;
use parking_lot::Mutex;
use tokio::time::Instant;

pub(crate) use self::admit::{PATH, admit, handle_admit};
pub(crate) use self::conviction::{digest_of, parse, rewrite};
pub(crate) use self::probe::{record_failure, record_lapse};
use crate::clock;
use crate::core::Core;

/// Longest time to connect to another gateway, in milliseconds.
const CONNECT_MS: u64 = 100;

/// Time between two looks for what is too old to matter, in milliseconds.
const EXPIRE_MS: u64 = 1_000;

/// What this gateway knows of requests that ended servers.
#[derive(Debug)]
pub(crate) struct Quarantine {
    records: Mutex<Records>,
    /// Requests of which anything is known: while there are none, requests pay nothing.
    record_count: AtomicUsize,
    last_expiry_ms: AtomicU64,
    http: Http,
    /// Convictions that are on their way to the key-value service.
    pending_writes: AtomicUsize,
}

impl Quarantine {
    pub(crate) fn new() -> Self {
        Self {
            records: Mutex::default(),
            record_count: AtomicUsize::new(0),
            last_expiry_ms: AtomicU64::new(0),
            http: Http::open(CONNECT_MS),
            pending_writes: AtomicUsize::new(0),
        }
    }

    /// Whether nothing is known of any request.
    fn is_empty(&self) -> bool {
        self.record_count.load(Ordering::Relaxed) == 0
    }

    fn update<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        let mut records = self.records.lock();
        let changed = change(&mut records);
        self.record_count.store(records.len(), Ordering::Relaxed);
        changed
    }

    fn verdict(&self, digest: Digest) -> Verdict {
        self.records.lock().verdict(digest, clock::now_ms())
    }

    /// What is known of a request, for another gateway.
    fn snapshot(&self, digest: Digest) -> Suspect {
        self.records.lock().snapshot(digest, clock::now_ms())
    }

    /// What other gateways are to be told.
    pub(crate) fn updates(&self) -> Vec<Suspect> {
        if self.is_empty() {
            return Vec::new();
        }
        self.records.lock().updates(clock::now_ms())
    }

    /// Forgets what is too old to matter.
    pub(crate) fn expire(&self) {
        let now = clock::now_ms();
        let expired_ms = self.last_expiry_ms.load(Ordering::Relaxed);
        if now.saturating_sub(expired_ms) < EXPIRE_MS {
            return;
        }
        self.last_expiry_ms.store(now, Ordering::Relaxed);
        self.update(|records| records.expire(now));
        #[expect(clippy::cast_precision_loss, reason = "a gauge is a floating number")]
        metrics::gauge!("quarantine_requests")
            .set(self.record_count.load(Ordering::Relaxed) as f64);
    }
}

/// Takes in what another gateway knows.
pub(crate) fn receive(core: &Core, suspects: &[Suspect]) {
    for suspect in suspects {
        for crash in &suspect.crashes {
            receive_crash(core, crash.server);
        }
        let now = clock::now_ms();
        let (before, after) = core.quarantine.update(|records| {
            let before = records.verdict(suspect.digest, now);
            records.merge(suspect, now);
            (before, records.verdict(suspect.digest, now))
        });
        log_conviction(core, suspect.digest, before, after);
    }
}

/// Notes that another gateway saw a life end: what breaks off there later met another life, and
/// meanwhile others are chosen.
fn receive_crash(core: &Core, server: ServerId) {
    let Some(backend) = core.registry.get_by_id(server) else {
        return;
    };
    // While somebody looks at its life there is nothing to be learnt.
    let is_new = backend
        .liveness
        .try_lock()
        .is_ok_and(|mut seen| seen.receive_crash(Instant::now()));
    if is_new {
        backend.health.lock().record_failure(Instant::now());
    }
}

/// Notes that a life of a server has ended, and what that says of requests that broke off there.
fn record_crash(core: &Arc<Core>, server: ServerId, name: &str) {
    let now = clock::now_ms();
    let suspects = core
        .quarantine
        .update(|records| records.record_crash(server, now));
    for (digest, verdict) in suspects {
        log!(core.logger, Event::Suspected,
            "digest" => digest.to_string(),
            "server" => name,
            "ended" => verdict.crashes());
        if matches!(verdict, Verdict::Convicted { .. }) {
            log_conviction(core, digest, Verdict::Clear, verdict);
            conviction::write(core, digest);
        }
    }
}

/// Notes that a run of a request ended well.
pub(crate) fn record_success(core: &Arc<Core>, digest: impl FnOnce() -> Digest) {
    if core.quarantine.is_empty() {
        return;
    }
    let digest = digest();
    let now = clock::now_ms();
    let held_for = core
        .quarantine
        .update(|records| records.record_success(digest, now));
    if held_for == 0 {
        return;
    }
    log_cleared(core, digest, held_for, "ended well");
    if held_for >= mulberryyoke_decide::quarantine::CONVICTION_THRESHOLD {
        conviction::write(core, digest);
    }
}

/// Clears a request, as an operator says.
pub(crate) fn release(core: &Core, digest: Digest) {
    let now = clock::now_ms();
    let held_for = core
        .quarantine
        .update(|records| records.record_success(digest, now));
    if held_for > 0 {
        log_cleared(core, digest, held_for, "released");
    }
}

/// Logs that a request is cleared of which it was logged that it is under suspicion.
fn log_cleared(core: &Core, digest: Digest, held_for: u32, why: &str) {
    if held_for < 2 {
        return;
    }
    log!(core.logger, Event::Cleared,
        "digest" => digest.to_string(), "ended" => held_for, "why" => why);
}

/// Logs a conviction that is new here.
fn log_conviction(core: &Core, digest: Digest, before: Verdict, after: Verdict) {
    let Verdict::Convicted { crashes, until } = after else {
        return;
    };
    if matches!(before, Verdict::Convicted { .. }) {
        return;
    }
    metrics::counter!("quarantine_convictions_total").increment(1);
    log!(core.logger, Event::Convicted,
        "digest" => digest.to_string(),
        "ended" => crashes,
        "for_ms" => until.saturating_sub(clock::now_ms()));
}
