//! Requests that end the servers which run them: what this gateway knows of them, and whether
//! a request may be sent.

mod admit;
mod conviction;
mod witness;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use mulberryyoke_decide::quarantine::{Quarantine as Records, Suspect, Verdict};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Digest, ServerId};
use mulberryyoke_platform::http::Http;
use parking_lot::Mutex;
use tokio::time::Instant;

pub(crate) use self::admit::{PATH, admit, answer};
pub(crate) use self::conviction::{digest_of, read, write_again};
pub(crate) use self::witness::{lapsed, witness};
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
    known: AtomicUsize,
    expired_ms: AtomicU64,
    http: Http,
    /// Convictions that are on their way to the key-value service.
    writes: AtomicUsize,
}

impl Quarantine {
    pub(crate) fn new() -> Self {
        Self {
            records: Mutex::default(),
            known: AtomicUsize::new(0),
            expired_ms: AtomicU64::new(0),
            http: Http::open(CONNECT_MS),
            writes: AtomicUsize::new(0),
        }
    }

    /// Whether nothing is known of any request.
    fn is_empty(&self) -> bool {
        self.known.load(Ordering::Relaxed) == 0
    }

    fn change<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        let mut records = self.records.lock();
        let changed = change(&mut records);
        self.known.store(records.len(), Ordering::Relaxed);
        changed
    }

    fn verdict(&self, digest: Digest) -> Verdict {
        self.records.lock().verdict(digest, clock::now_ms())
    }

    /// What is known of a request, for another gateway.
    fn suspect(&self, digest: Digest) -> Suspect {
        self.records.lock().snapshot(digest, clock::now_ms())
    }

    /// What other gateways are to be told.
    pub(crate) fn told(&self) -> Vec<Suspect> {
        if self.is_empty() {
            return Vec::new();
        }
        self.records.lock().updates(clock::now_ms())
    }

    /// Forgets what is too old to matter.
    pub(crate) fn expire(&self) {
        let now = clock::now_ms();
        let expired_ms = self.expired_ms.load(Ordering::Relaxed);
        if now.saturating_sub(expired_ms) < EXPIRE_MS {
            return;
        }
        self.expired_ms.store(now, Ordering::Relaxed);
        self.change(|records| records.expire(now));
        #[expect(clippy::cast_precision_loss, reason = "a gauge is a floating number")]
        metrics::gauge!("quarantine_requests").set(self.known.load(Ordering::Relaxed) as f64);
    }
}

/// Takes in what another gateway knows.
pub(crate) fn hear(core: &Core, suspects: &[Suspect]) {
    for suspect in suspects {
        for crash in &suspect.crashes {
            learn(core, crash.server);
        }
        let now = clock::now_ms();
        let (before, after) = core.quarantine.change(|records| {
            let before = records.verdict(suspect.digest, now);
            records.merge(suspect, now);
            (before, records.verdict(suspect.digest, now))
        });
        note(core, suspect.digest, before, after);
    }
}

/// Notes that another gateway saw a life end: what breaks off there later met another life, and
/// meanwhile others are chosen.
fn learn(core: &Core, server: ServerId) {
    let Some(backend) = core.registry.get_by_id(server) else {
        return;
    };
    // While somebody looks at its life there is nothing to be learnt.
    let is_new = backend
        .seen
        .try_lock()
        .is_ok_and(|mut seen| seen.learn(Instant::now()));
    if is_new {
        backend.health.lock().fail(Instant::now());
    }
}

/// Notes that a life of a server has ended, and what that says of requests that broke off there.
fn ended(core: &Arc<Core>, server: ServerId, name: &str) {
    let now = clock::now_ms();
    let suspects = core
        .quarantine
        .change(|records| records.record_crash(server, now));
    for (digest, verdict) in suspects {
        log!(core.logger, Event::Suspected,
            "digest" => digest.to_string(),
            "server" => name,
            "ended" => verdict.crashes());
        if matches!(verdict, Verdict::Convicted { .. }) {
            note(core, digest, Verdict::Clear, verdict);
            conviction::write(core, digest);
        }
    }
}

/// Notes that a run of a request ended well.
pub(crate) fn survived(core: &Arc<Core>, digest: impl FnOnce() -> Digest) {
    if core.quarantine.is_empty() {
        return;
    }
    let digest = digest();
    let now = clock::now_ms();
    let held_for = core
        .quarantine
        .change(|records| records.record_success(digest, now));
    if held_for == 0 {
        return;
    }
    cleared(core, digest, held_for, "ended well");
    if held_for >= mulberryyoke_decide::quarantine::CONVICTION_THRESHOLD {
        conviction::write(core, digest);
    }
}

/// Clears a request, as an operator says.
pub(crate) fn release(core: &Core, digest: Digest) {
    let now = clock::now_ms();
    let held_for = core
        .quarantine
        .change(|records| records.record_success(digest, now));
    if held_for > 0 {
        cleared(core, digest, held_for, "released");
    }
}

/// Logs that a request is cleared of which it was logged that it is under suspicion.
fn cleared(core: &Core, digest: Digest, held_for: u32, why: &str) {
    if held_for < 2 {
        return;
    }
    log!(core.logger, Event::Cleared,
        "digest" => digest.to_string(), "ended" => held_for, "why" => why);
}

/// Logs a conviction that is new here.
fn note(core: &Core, digest: Digest, before: Verdict, after: Verdict) {
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
