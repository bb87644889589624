//! Quarantine of prompt parts that crash the servers that begin to write an answer on them.
//!
//! Requests with such a part need not be alike otherwise, so that evidence by request never adds
//! up. A crash counts against each part of each prompt whose answer had just begun there, or could
//! have; an answer that is written on a part clears it. A part that sound requests share is cleared
//! by the first of them, so nothing is held against a part before it is convicted.

mod failure;
mod history;
mod report;
mod subject;

use std::collections::HashMap;

use mulberryyoke_model::{Digest, Millis, ServerId, VersionId};
use smallvec::SmallVec;

pub use self::failure::Failure;
use self::history::History;
pub use self::report::Report;
pub use self::subject::Subject;
use super::{Crash, DETECTION_MS, GOSSIP_MS, MAX_FAILURES, Verdict};
use crate::engine::PartId;

/// Time after the first event at which an answer no longer counts as just begun, in milliseconds.
pub const SETTLING_MS: u64 = 500;

/// Maximum number of parts with a history. Those with the fewest and oldest crashes are evicted
/// first.
const MAX_PARTS: usize = 4_096;

/// Maximum number of versions with a history per part; the one with the fewest and oldest crashes
/// is evicted first.
const MAX_VERSIONS: usize = 4;

/// Maximum number of parts per message, about 3 KB with one crash each.
const MAX_UPDATES: usize = 96;

/// Time for which one copy is tried, in milliseconds. Its prompt may wait to be read.
const TRIAL_MS: u64 = 3_000;

/// Histories of a part by version.
type Versions = SmallVec<[(VersionId, History); 1]>;

/// A gateway's records of prompt parts that crashed servers.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    histories: HashMap<PartId, Versions>,
    /// Prompts that failed on servers not yet known to have crashed.
    failures: HashMap<ServerId, Vec<Failure>>,
}

impl Parts {
    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Returns the number of parts with a record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Records that a prompt failed while running on a server instance.
    pub fn record_failure(&mut self, server: ServerId, failure: Failure) {
        let failures = self.failures.entry(server).or_default();
        if failures.len() < MAX_FAILURES && !failure.parts.is_empty() {
            failures.push(failure);
        }
    }

    /// Records that a server instance of a version crashed; `heard_at` is when it last responded to
    /// anything. Returns the parts against which it counts and that now have several crashes.
    pub fn record_crash(
        &mut self,
        (server, version): (ServerId, VersionId),
        heard_at: Millis,
        now: Millis,
    ) -> Vec<Subject> {
        let failures = self.failures.remove(&server).unwrap_or_default();
        let recent = failures.into_iter().filter(|failure| {
            now.saturating_sub(failure.at) < DETECTION_MS && failure.may_be_cause(heard_at)
        });
        let recent: Vec<Failure> = recent.collect();
        let Some(at) = recent.iter().map(|failure| failure.at).min() else {
            return Vec::new();
        };
        let mut suspected = Vec::new();
        for part in recent.iter().flat_map(|failure| &failure.parts) {
            let subject = Subject {
                part: *part,
                version,
            };
            let history = self.history(subject);
            if history.record_crash(server, at, now) && history.crashes() > 1 {
                suspected.push(subject);
            }
        }
        suspected
    }

    /// Records that an answer was written on these parts by a server of a version that lived on at
    /// `at`. Returns the parts that it cleared, with the number of crashes that counted.
    pub fn record_run(
        &mut self,
        parts: &[PartId],
        version: VersionId,
        at: Millis,
        now: Millis,
    ) -> Vec<(Subject, u32)> {
        let mut cleared = Vec::new();
        for &part in parts {
            let subject = Subject { part, version };
            let Some(history) = self.get_mut(subject) else {
                continue;
            };
            let crashes = history.crashes();
            if history.record_run(at, now) {
                cleared.push((subject, crashes));
            }
        }
        cleared
    }

    /// Clears a part of all crashes. Returns the number of those that counted against it.
    pub fn clear(&mut self, subject: Subject, now: Millis) -> u32 {
        let cleared = self.record_run(&[subject.part], subject.version, now, now);
        cleared.first().map_or(0, |(_, crashes)| *crashes)
    }

    /// Returns whether anything counts against one of these parts at a version.
    #[must_use]
    pub fn has_crashes(&self, parts: &[PartId], version: VersionId) -> bool {
        parts.iter().any(|&part| {
            let history = self.get(Subject { part, version });
            history.is_some_and(|history| history.crashes() > 0)
        })
    }

    /// Returns the verdict on a part.
    #[must_use]
    pub fn verdict(&self, subject: Subject, now: Millis) -> Verdict {
        let history = self.get(subject);
        history.map_or(Verdict::Clear, |history| history.verdict(now))
    }

    /// Returns those of a prompt's parts that are not clear at a version, with the verdicts on them.
    #[must_use]
    pub fn verdicts(&self, parts: &[PartId], now: Millis) -> Vec<(Subject, Verdict)> {
        let mut verdicts = Vec::new();
        for &part in parts {
            for (version, history) in self.histories.get(&part).into_iter().flatten() {
                let version = *version;
                let verdict = history.verdict(now);
                if verdict != Verdict::Clear {
                    verdicts.push((Subject { part, version }, verdict));
                }
            }
        }
        let versions: Vec<VersionId> = verdicts
            .iter()
            .map(|(subject, _)| subject.version)
            .collect();
        let is_shared = |version| versions.iter().filter(|other| **other == version).count() > 1;
        for (subject, verdict) in &mut verdicts {
            let history = self.get(*subject).filter(|_| is_shared(subject.version));
            *verdict = history.map_or(*verdict, |history| history.verdict_beside_others(now));
        }
        verdicts
    }

    /// Returns whether a copy may run now. If a trial is due, this starts one that excludes other
    /// copies until it expires.
    pub fn admit(&mut self, subject: Subject, now: Millis) -> bool {
        let Some(history) = self.get_mut(subject) else {
            return true;
        };
        match history.verdict(now) {
            Verdict::Clear => true,
            Verdict::Convicted { .. } => false,
            Verdict::Suspect { .. } => history.start_trial(now + TRIAL_MS, now),
        }
    }

    /// Returns a report on a part for another gateway.
    #[must_use]
    pub fn report(&self, subject: Subject, now: Millis) -> Report {
        let history = self.get(subject);
        history.map_or_else(
            || Report::new(subject),
            |history| history.report(subject, now),
        )
    }

    /// Returns the crashes that count against a part.
    #[must_use]
    pub fn counted(&self, subject: Subject, now: Millis) -> Vec<Crash> {
        let history = self.get(subject);
        history.map_or_else(Vec::new, |history| history.counted_crashes(now))
    }

    /// Merges a report from another gateway; returns `true` if that changed the record.
    pub fn merge(&mut self, report: &Report, now: Millis) -> bool {
        if report.crashes.is_empty() {
            let history = self.get_mut(report.subject);
            return history.is_some_and(|history| history.merge(report, now));
        }
        self.history(report.subject).merge(report, now)
    }

    /// Returns reports on the recently changed records, those with the most crashes first.
    #[must_use]
    pub fn updates(&self, now: Millis) -> Vec<Report> {
        let changed = self
            .iter()
            .filter(|(_, history)| now.saturating_sub(history.changed_at()) < GOSSIP_MS);
        let mut changed: Vec<(Subject, &History)> = changed.collect();
        changed.sort_by_key(|(subject, history)| (std::cmp::Reverse(history.priority()), *subject));
        changed.truncate(MAX_UPDATES);
        let updates = changed.into_iter();
        updates
            .map(|(subject, history)| history.report(subject, now))
            .collect()
    }

    /// Tells other gateways of all crashes that count once more, as one of them has just started.
    pub fn tell_again(&mut self, now: Millis) {
        let histories = self.histories.values_mut().flatten();
        let counted = histories.filter(|(_, history)| history.crashes() > 0);
        counted.for_each(|(_, history)| history.touch(now));
    }

    /// Drops expired records and failures.
    pub fn expire(&mut self, now: Millis) {
        self.histories.retain(|_, versions| {
            versions.retain(|(_, history)| !history.is_expired(now));
            !versions.is_empty()
        });
        self.failures.retain(|_, failures| {
            failures.retain(|failure| now.saturating_sub(failure.at) < DETECTION_MS);
            !failures.is_empty()
        });
    }

    fn iter(&self) -> impl Iterator<Item = (Subject, &History)> {
        let histories = self.histories.iter();
        histories.flat_map(|(&part, versions)| {
            let versions = versions.iter();
            versions.map(move |(version, history)| {
                let version = *version;
                (Subject { part, version }, history)
            })
        })
    }

    fn get(&self, subject: Subject) -> Option<&History> {
        let mut versions = self.histories.get(&subject.part)?.iter();
        let (_, history) = versions.find(|(version, _)| *version == subject.version)?;
        Some(history)
    }

    fn get_mut(&mut self, subject: Subject) -> Option<&mut History> {
        let mut versions = self.histories.get_mut(&subject.part)?.iter_mut();
        let (_, history) = versions.find(|(version, _)| *version == subject.version)?;
        Some(history)
    }

    /// Returns the history of a part, creating it if necessary.
    fn history(&mut self, subject: Subject) -> &mut History {
        if self.histories.len() >= MAX_PARTS && !self.histories.contains_key(&subject.part) {
            let evicted = self.iter().min_by_key(|(_, history)| history.priority());
            let evicted = evicted.map(|(subject, _)| subject.part);
            evicted.and_then(|part| self.histories.remove(&part));
        }
        let versions = self.histories.entry(subject.part).or_default();
        let index = versions
            .iter()
            .position(|(version, _)| *version == subject.version);
        let index = index.unwrap_or_else(|| {
            if versions.len() == MAX_VERSIONS {
                versions.sort_by_key(|(_, history)| history.priority());
                versions.remove(0);
            }
            versions.push((subject.version, History::default()));
            versions.len() - 1
        });
        &mut versions[index].1
    }
}

/// Digest by which the gateway is chosen that decides about trials of a part.
#[must_use]
pub fn digest(part: PartId) -> Digest {
    Digest(u128::from(part.as_u64()))
}
