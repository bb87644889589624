//! Crash history of a prompt part at servers of one version.

use mulberryyoke_model::{Millis, ServerId};
use smallvec::SmallVec;

use super::{Report, Subject, TRIAL_MS};
use crate::quarantine::{CONVICTION_THRESHOLD, Crash, Verdict};

/// Maximum number of crashes kept; the oldest is evicted first.
const MAX_CRASHES: usize = 12;

/// Crashes less than this apart count as one, in milliseconds: many servers may be killed at once.
const OCCASION_MS: u64 = 100;

/// First quarantine time, in milliseconds. The trial that follows frees a part that was convicted
/// because all servers crashed for another reason.
const FIRST_QUARANTINE_MS: u64 = 2_000;

/// Quarantine time after a crash in the first trial, in milliseconds. It doubles with each further
/// trial that crashes a server.
const BASE_QUARANTINE_MS: u64 = 60_000;

/// Maximum quarantine time, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 480_000;

/// Time for which a history is kept after its last crash or run, in milliseconds.
const RETENTION_MS: u64 = 600_000;

/// Crash history of a prompt part at servers of one version.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// Oldest first. Those before the last run are kept, so that a late report of them is
    /// recognised as known.
    crashes: SmallVec<[(ServerId, Millis); 4]>,
    /// When an answer was last written on the part. All earlier crashes are cleared.
    ran_at: Option<Millis>,
    changed_at: Millis,
    /// Start and expiry of the trial that lets one copy run.
    trial: Option<(Millis, Millis)>,
}

impl History {
    /// Records that a server instance crashed at `at`; returns `false` if that was known.
    pub(super) fn record_crash(&mut self, server: ServerId, at: Millis, now: Millis) -> bool {
        if self.crashes.iter().any(|(known, _)| *known == server) {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push((server, at));
        self.crashes.sort_by_key(|(_, at)| *at);
        // A crash before the trial started was caused by another copy.
        self.trial = self.trial.filter(|(since, _)| at < *since);
        self.changed_at = now;
        true
    }

    /// Records that an answer was written at `at`; returns `false` if that clears no crash.
    pub(super) fn record_run(&mut self, at: Millis, now: Millis) -> bool {
        let clears = self.counted().any(|(_, crashed_at)| crashed_at <= at);
        self.ran_at = self.ran_at.max(Some(at));
        if clears {
            self.trial = None;
            self.changed_at = now;
        }
        clears
    }

    /// Server instances and the times of their crashes that count against the part.
    fn counted(&self) -> impl DoubleEndedIterator<Item = (ServerId, Millis)> {
        let ran_at = self.ran_at;
        let crashes = self.crashes.iter().copied();
        crashes.filter(move |(_, at)| ran_at.is_none_or(|ran_at| *at > ran_at))
    }

    /// Times of the crashes that count, without those at about the same time as the one before.
    fn occasions(&self) -> impl Iterator<Item = Millis> {
        let mut last = None;
        let counted = self.counted().map(|(_, at)| at);
        counted.filter(move |at| {
            let is_apart = last.is_none_or(|last| *at >= last + OCCASION_MS);
            if is_apart {
                last = Some(*at);
            }
            is_apart
        })
    }

    /// Number of crashes that count.
    pub(super) fn crashes(&self) -> u32 {
        u32::try_from(self.occasions().count()).unwrap_or(u32::MAX)
    }

    /// Returns when the next trial is due; `None` if the part is not convicted. A crash in the
    /// quarantine, which ran before others knew, extends it; one later than that is a failed trial.
    fn due_at(&self) -> Option<Millis> {
        let threshold = usize::try_from(CONVICTION_THRESHOLD).unwrap_or(usize::MAX);
        let mut due_at = None;
        let mut quarantine_ms = FIRST_QUARANTINE_MS;
        for at in self.occasions().skip(threshold - 1) {
            if due_at.is_some_and(|due_at| at >= due_at) {
                quarantine_ms = next_quarantine_ms(quarantine_ms);
            }
            due_at = due_at.max(Some(at + quarantine_ms));
        }
        due_at
    }

    /// Returns the verdict: clear below conviction, and suspect when a trial is due.
    pub(super) fn verdict(&self, now: Millis) -> Verdict {
        let Some(until) = self.due_at() else {
            return Verdict::Clear;
        };
        let crashes = self.crashes();
        if now < until {
            return Verdict::Convicted { crashes, until };
        }
        Verdict::Suspect { crashes }
    }

    /// Returns the verdict on the part in a prompt with other parts that are due for a trial. It
    /// waits longer, so that sound ones are tried without it.
    pub(super) fn verdict_beside_others(&self, now: Millis) -> Verdict {
        let Some(until) = self.due_at().map(|due_at| due_at + TRIAL_MS) else {
            return Verdict::Clear;
        };
        if now < until {
            let crashes = self.crashes();
            return Verdict::Convicted { crashes, until };
        }
        self.verdict(now)
    }

    /// Starts a trial that expires at `until`; returns `false` while another one is in progress.
    pub(super) fn start_trial(&mut self, until: Millis, now: Millis) -> bool {
        if self.trial.is_some_and(|(_, until)| until > now) {
            return false;
        }
        self.trial = Some((now, until));
        true
    }

    /// Crashes that count against the part.
    pub(super) fn counted_crashes(&self, now: Millis) -> Vec<Crash> {
        let crash = |(server, at)| Crash {
            server,
            age_ms: now.saturating_sub(at),
        };
        self.counted().map(crash).collect()
    }

    pub(super) fn report(&self, subject: Subject, now: Millis) -> Report {
        let crashes = self.crashes.iter().map(|(server, at)| Crash {
            server: *server,
            age_ms: now.saturating_sub(*at),
        });
        Report {
            subject,
            crashes: crashes.collect(),
            run_age_ms: self.ran_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Merges a report from another gateway; returns `true` if that changed the history.
    pub(super) fn merge(&mut self, report: &Report, now: Millis) -> bool {
        let mut is_changed = false;
        for crash in &report.crashes {
            let at = now.saturating_sub(crash.age_ms);
            is_changed |= self.record_crash(crash.server, at, now);
        }
        if let Some(age_ms) = report.run_age_ms {
            is_changed |= self.record_run(now.saturating_sub(age_ms), now);
        }
        is_changed
    }

    /// Marks the history as changed, so that other gateways are told of it.
    pub(super) const fn touch(&mut self, now: Millis) {
        self.changed_at = now;
    }

    pub(super) const fn changed_at(&self) -> Millis {
        self.changed_at
    }

    /// Eviction priority; the history with the lowest one is evicted first.
    pub(super) fn priority(&self) -> (u32, Millis) {
        (self.crashes(), self.changed_at)
    }

    /// Returns whether the retention time has passed.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let last = self.crashes.last().map_or(0, |(_, at)| *at);
        let last = last.max(self.ran_at.unwrap_or(0));
        now.saturating_sub(last) >= RETENTION_MS
    }
}

/// Quarantine time after a failed trial, in milliseconds; `previous_ms` is the one before it.
fn next_quarantine_ms(previous_ms: u64) -> u64 {
    previous_ms
        .saturating_mul(2)
        .clamp(BASE_QUARANTINE_MS, MAX_QUARANTINE_MS)
}
