//! Quarantine of prompt parts that crash the servers that begin to write an answer on them.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use mulberryyoke_decide::quarantine::parts::{Failure, Parts as Table, Report, Subject};
use mulberryyoke_decide::quarantine::{Crash, Verdict};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::ServerId;
use parking_lot::Mutex;

use super::{Culprit, conviction};
use crate::backend::{Backend, InFlight};
use crate::call::Call;
use crate::clock;
use crate::core::Core;

/// Records of prompt parts that may have crashed servers.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    table: Mutex<Table>,
    /// Number of parts with a record. While it is zero, the hot path takes no lock.
    count: AtomicUsize,
    /// Increases with each change of a record, so that a stream looks at the table once for each.
    epoch: AtomicU64,
    /// Whether other gateways are to be told before the next message is due.
    is_urgent: AtomicBool,
    /// Parts whose convictions have been logged and not lifted.
    convicted: Mutex<HashSet<Subject>>,
}

impl Parts {
    pub(super) fn is_empty(&self) -> bool {
        self.count.load(Ordering::Relaxed) == 0
    }

    pub(super) fn update<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        let mut table = self.table.lock();
        let result = change(&mut table);
        self.count.store(table.len(), Ordering::Relaxed);
        result
    }

    pub(super) fn record_failure(&self, server: ServerId, failure: Failure) {
        self.table.lock().record_failure(server, failure);
    }

    /// Parts of a call's prompt that are not clear, with the verdicts on them.
    pub(super) fn verdicts(&self, call: &Call) -> Vec<(Subject, Verdict)> {
        let Some(prompt) = call.prompt.as_ref().filter(|_| !self.is_empty()) else {
            return Vec::new();
        };
        let table = self.table.lock();
        table.verdicts(&prompt.part_ids, clock::now_ms())
    }

    /// Record of a part, to send to another gateway.
    pub(super) fn report(&self, subject: Subject) -> Report {
        self.table.lock().report(subject, clock::now_ms())
    }

    /// Crashes that count against a part.
    pub(super) fn counted(&self, subject: Subject) -> Vec<Crash> {
        self.table.lock().counted(subject, clock::now_ms())
    }

    /// Records to send to other gateways.
    pub(crate) fn updates(&self) -> Vec<Report> {
        if self.is_empty() {
            return Vec::new();
        }
        self.table.lock().updates(clock::now_ms())
    }

    /// Whether other gateways are to be told now; resets it.
    pub(crate) fn take_urgent(&self) -> bool {
        self.is_urgent.load(Ordering::Relaxed) && self.is_urgent.swap(false, Ordering::Relaxed)
    }

    pub(super) fn tell_again(&self) {
        if !self.is_empty() {
            self.table.lock().tell_again(clock::now_ms());
        }
    }

    pub(super) fn expire(&self, now: u64) {
        self.update(|table| table.expire(now));
        let table = self.table.lock();
        let is_held = |subject: &Subject| table.verdict(*subject, now) != Verdict::Clear;
        self.convicted.lock().retain(is_held);
        drop(table);
        #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
        metrics::gauge!("quarantine_parts").set(self.count.load(Ordering::Relaxed) as f64);
    }

    fn record_change(&self, is_urgent: bool) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
        if is_urgent {
            self.is_urgent.store(true, Ordering::Relaxed);
        }
    }
}

/// Records a crash against the parts of the prompts that failed there.
pub(super) fn record_crash(core: &Arc<Core>, server: ServerId, backend: &Backend) {
    let parts = &core.quarantine.parts;
    let (crashed, now) = ((server, backend.server.version), clock::now_ms());
    let suspected = parts.update(|table| table.record_crash(crashed, backend.heard_ms(), now));
    parts.record_change(!suspected.is_empty());
    for subject in suspected {
        let is_new = log_conviction(core, subject);
        if is_new || parts.convicted.lock().contains(&subject) {
            // A crash in a trial prolongs the conviction, also for gateways that start later.
            super::forget_written(core, Culprit::Part(subject));
            conviction::ensure_written(core, Culprit::Part(subject));
        }
    }
}

/// Merges records of another gateway.
pub(crate) fn receive(core: &Arc<Core>, reports: &[Report]) {
    let parts = &core.quarantine.parts;
    let now = clock::now_ms();
    for report in reports {
        if !parts.update(|table| table.merge(report, now)) {
            continue;
        }
        let subject = report.subject;
        let is_new = log_conviction(core, subject);
        parts.record_change(is_new);
        if is_new {
            conviction::ensure_written(core, Culprit::Part(subject));
        }
        if parts.counted(subject).is_empty() {
            lift(
                core,
                subject,
                report.crashes.len() as u64,
                "ended well elsewhere",
            );
        }
    }
}

/// Records that a stream goes on, which clears its prompt's parts some time after its first event.
pub(crate) fn record_progress(core: &Arc<Core>, call: &Call, in_flight: &mut InFlight) {
    let parts = &core.quarantine.parts;
    if parts.is_empty() {
        return;
    }
    let epoch = parts.epoch.load(Ordering::Relaxed);
    if in_flight.is_settled_since(epoch) {
        record_run(core, call, &in_flight.backend, clock::now_ms());
    }
}

/// Records that an answer was written by a server that lived on at `at`, which clears the parts.
pub(super) fn record_run(core: &Arc<Core>, call: &Call, backend: &Backend, at: u64) {
    let parts = &core.quarantine.parts;
    let Some(prompt) = call.prompt.as_ref().filter(|_| !parts.is_empty()) else {
        return;
    };
    let (version, now) = (backend.server.version, clock::now_ms());
    let cleared = parts.update(|table| table.record_run(&prompt.part_ids, version, at, now));
    for (subject, crashes) in cleared {
        lift(core, subject, crashes.into(), "ended well");
    }
}

/// Lifts the conviction of a part that has been cleared; the arbiter does so in the key-value
/// service.
fn lift(core: &Arc<Core>, subject: Subject, crashes_before: u64, reason: &str) {
    let culprit = Culprit::Part(subject);
    if log_cleared(core, subject, crashes_before, reason)
        && core.exchange.arbiter(culprit.digest()).is_none()
    {
        conviction::write(core, culprit);
    }
}

/// Clears a part on behalf of an operator.
pub(super) fn release(core: &Core, subject: Subject, now: u64) {
    let parts = &core.quarantine.parts;
    let crashes_before = parts.update(|table| table.clear(subject, now));
    log_cleared(core, subject, crashes_before.into(), "released");
}

/// Logs a conviction that is new to this gateway; `false` if there is none.
fn log_conviction(core: &Core, subject: Subject) -> bool {
    let parts = &core.quarantine.parts;
    let verdict = parts.table.lock().verdict(subject, clock::now_ms());
    let Verdict::Convicted { crashes, until } = verdict else {
        return false;
    };
    if !parts.convicted.lock().insert(subject) {
        return false;
    }
    metrics::counter!("quarantine_part_convictions_total").increment(1);
    log!(core.logger, Event::PartConvicted,
        "part" => subject.part.to_string(),
        "version" => subject.version.0,
        "ended" => crashes,
        "for_ms" => until.saturating_sub(clock::now_ms()));
    true
}

/// Logs that a part is no longer held, if it was logged as convicted; `true` if so.
fn log_cleared(core: &Core, subject: Subject, crashes_before: u64, reason: &str) -> bool {
    let parts = &core.quarantine.parts;
    if !parts.convicted.lock().remove(&subject) {
        return false;
    }
    parts.record_change(true);
    log!(core.logger, Event::PartCleared,
        "part" => subject.part.to_string(),
        "version" => subject.version.0,
        "ended" => crashes_before,
        "why" => reason);
    true
}
