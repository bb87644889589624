//! Quarantine of requests that crash the servers on which they run.

mod admit;
mod conviction;
mod culprit;
mod part_admission;
mod parts;
mod probe;
mod run;
mod silence;
mod success;
mod withdraw;
mod written;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use mulberryyoke_decide::quarantine::{Quarantine as Records, Suspect, Verdict};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Digest, ServerId, VersionId};
use mulberryyoke_platform::http::Http;
use parking_lot::Mutex;
use tokio::time::Instant;

pub(crate) use self::admit::{PATH, admit, check, handle_admit};
pub(crate) use self::conviction::rewrite;
pub(crate) use self::culprit::Culprit;
pub(crate) use self::part_admission::{
    Barred, PATH as PART_PATH, admit as admit_parts, barred, handle_admit as handle_admit_part,
    log_withheld,
};
pub(crate) use self::parts::{Parts, receive as receive_parts, record_progress};
pub(crate) use self::probe::{record_failure, record_lapse, record_replacement};
pub(crate) use self::silence::{Watch, check_silence, record_abandoned, spawn_silence_check};
pub(crate) use self::success::record_success;
pub(crate) use self::withdraw::{PATH as WITHDRAW_PATH, handle_withdraw, withdraw};
use crate::backend::Backend;
use crate::clock;
use crate::core::Core;

/// Timeout for connecting to another gateway, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 100;

/// Interval between expiry runs, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Records of requests that may have crashed servers.
#[derive(Debug)]
pub(crate) struct Quarantine {
    records: Mutex<Records>,
    /// Records of prompt parts.
    pub(crate) parts: Parts,
    /// Number of records. While it is zero, the hot path takes no lock and computes no digest.
    record_count: AtomicUsize,
    last_expiry_ms: AtomicU64,
    http: Http,
    /// Convictions being written to the key-value service.
    pending_writes: AtomicUsize,
    /// Convictions known to be in the key-value service.
    written: Mutex<HashSet<Culprit>>,
}

impl Quarantine {
    pub(crate) fn new() -> Self {
        Self {
            records: Mutex::default(),
            parts: Parts::default(),
            record_count: AtomicUsize::new(0),
            last_expiry_ms: AtomicU64::new(0),
            http: Http::new(CONNECT_TIMEOUT_MS),
            pending_writes: AtomicUsize::new(0),
            written: Mutex::default(),
        }
    }

    fn is_empty(&self) -> bool {
        self.record_count.load(Ordering::Relaxed) == 0
    }

    fn update<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        let mut records = self.records.lock();
        let result = change(&mut records);
        self.record_count.store(records.len(), Ordering::Relaxed);
        result
    }

    fn verdict(&self, digest: Digest) -> Verdict {
        self.records.lock().verdict(digest, clock::now_ms())
    }

    /// Server instances whose crashes count against a request.
    fn counted_servers(&self, digest: Digest) -> Vec<ServerId> {
        self.records.lock().counted_servers(digest)
    }

    /// Record of a request, to send to another gateway.
    fn snapshot(&self, digest: Digest) -> Suspect {
        self.records.lock().snapshot(digest, clock::now_ms())
    }

    /// Records to send to other gateways.
    pub(crate) fn updates(&self) -> Vec<Suspect> {
        if self.is_empty() {
            return Vec::new();
        }
        self.records.lock().updates(clock::now_ms())
    }

    /// Sends all records of crashes to other gateways once more, as one of them has just started.
    pub(crate) fn tell_again(&self) {
        if !self.is_empty() {
            self.records.lock().tell_again(clock::now_ms());
        }
        self.parts.tell_again();
    }

    /// Removes expired records.
    pub(crate) fn expire(&self) {
        let now = clock::now_ms();
        let last_expiry_ms = self.last_expiry_ms.load(Ordering::Relaxed);
        if now.saturating_sub(last_expiry_ms) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.last_expiry_ms.store(now, Ordering::Relaxed);
        self.update(|records| records.expire(now));
        self.parts.expire(now);
        #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
        metrics::gauge!("quarantine_requests")
            .set(self.record_count.load(Ordering::Relaxed) as f64);
    }
}

/// Merges records of another gateway. A conviction that follows from them is written, as the gateways
/// that saw the crashes need not have known of all of them.
pub(crate) fn receive(core: &Arc<Core>, suspects: &[Suspect]) {
    for suspect in suspects {
        if merge(core, suspect) {
            conviction::ensure_written(core, Culprit::Request(suspect.digest));
        }
    }
}

/// Merges a conviction of the key-value service; returns `false` if it cannot be read. A value
/// without crashes means that an operator or a successful run lifted it.
pub(crate) fn receive_written(core: &Arc<Core>, culprit: Culprit, value: &[u8]) -> bool {
    match culprit {
        Culprit::Request(digest) => {
            let Some(suspect) = written::parse_request(digest, value) else {
                return false;
            };
            if suspect.crashes.is_empty() {
                release(core, culprit);
            } else {
                core.quarantine.written.lock().insert(culprit);
                merge(core, &suspect);
            }
        }
        Culprit::Part(subject) => {
            let Some(report) = written::parse_part(subject, value) else {
                return false;
            };
            if report.crashes.is_empty() {
                release(core, culprit);
            } else {
                core.quarantine.written.lock().insert(culprit);
                parts::receive(core, &[report]);
            }
        }
    }
    true
}

/// Merges a record of another gateway; `true` if that convicts the request.
fn merge(core: &Core, suspect: &Suspect) -> bool {
    for crash in &suspect.crashes {
        receive_crash(core, crash.server);
    }
    let now = clock::now_ms();
    let (before, after) = core.quarantine.update(|records| {
        let before = records.verdict(suspect.digest, now);
        records.merge(suspect, |server| version_of(core, server), now);
        (before, records.verdict(suspect.digest, now))
    });
    log_conviction(core, suspect.digest, before, after)
}

/// Version of a registered server.
fn version_of(core: &Core, server: ServerId) -> Option<VersionId> {
    let backend = core.registry.get_by_id(server)?;
    Some(backend.server.version)
}

/// Records that another gateway detected a crash: later failures there belong to another
/// instance, and until then other servers are preferred.
fn receive_crash(core: &Core, server: ServerId) {
    let Some(backend) = core.registry.get_by_id(server) else {
        return;
    };
    // A probe in progress holds the lock and will detect the crash itself.
    let is_new = backend
        .liveness
        .try_lock()
        .is_ok_and(|mut liveness| liveness.receive_crash(Instant::now()));
    if is_new {
        backend.health.lock().record_failure(Instant::now());
    }
}

/// Records a crash, which makes suspects of the requests that failed there.
fn record_crash(core: &Arc<Core>, server: ServerId, backend: &Backend) {
    parts::record_crash(core, server, backend);
    let now = clock::now_ms();
    let (suspects, is_mass_crash) = core.quarantine.update(|records| {
        let crashed = (server, backend.server.version);
        let suspects = records.record_crash(crashed, backend.heard_ms(), now);
        (suspects, records.is_mass_crash(server))
    });
    if is_mass_crash {
        log!(core.logger, Event::CrashNotCounted, "server" => &backend.server.name, "why" => "mass_crash");
    }
    for (digest, verdict) in suspects {
        log!(core.logger, Event::Suspected,
            "digest" => digest.to_string(),
            "server" => &backend.server.name,
            "ended" => verdict.crashes());
        if matches!(verdict, Verdict::Convicted { .. }) {
            log_conviction(core, digest, Verdict::Clear, verdict);
            conviction::write(core, Culprit::Request(digest));
        }
    }
}

/// Records that a conviction is no longer in the key-value service.
pub(crate) fn forget_written(core: &Core, culprit: Culprit) {
    core.quarantine.written.lock().remove(&culprit);
}

/// Lifts a conviction on behalf of an operator.
pub(crate) fn release(core: &Core, culprit: Culprit) {
    forget_written(core, culprit);
    let now = clock::now_ms();
    match culprit {
        Culprit::Request(digest) => {
            let crashes_before = core.quarantine.update(|records| records.clear(digest, now));
            if crashes_before > 0 {
                log_cleared(core, digest, crashes_before, "released");
            }
        }
        Culprit::Part(subject) => parts::release(core, subject, now),
    }
}

/// Logs that a request is no longer a suspect, if it was logged as one.
fn log_cleared(core: &Core, digest: Digest, crashes_before: u32, reason: &str) {
    if crashes_before < 2 {
        return;
    }
    log!(core.logger, Event::Cleared,
        "digest" => digest.to_string(), "ended" => crashes_before, "why" => reason);
}

/// Logs a conviction that is new to this gateway; `false` if there is none.
fn log_conviction(core: &Core, digest: Digest, before: Verdict, after: Verdict) -> bool {
    let Verdict::Convicted { crashes, until } = after else {
        return false;
    };
    if matches!(before, Verdict::Convicted { .. }) {
        return false;
    }
    metrics::counter!("quarantine_convictions_total").increment(1);
    log!(core.logger, Event::Convicted,
        "digest" => digest.to_string(),
        "ended" => crashes,
        "for_ms" => until.saturating_sub(clock::now_ms()));
    true
}
