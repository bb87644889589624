//! Crash history of a single request.

use mulberryyoke_model::{Digest, Millis, ServerId};
use smallvec::SmallVec;

use super::crashes::Crashes;
use super::{Crash, Suspect, Verdict};

/// Number of server crashes at which a request is quarantined. A request that merely ran beside
/// the culprit, and was retried on another server together with it, can see two; suspects are
/// then isolated from each other, so it does not see a third.
pub const CONVICTION_THRESHOLD: u32 = 3;

/// Maximum number of crashes kept per request; the oldest is evicted first.
const MAX_CRASHES: usize = 8;

/// Initial quarantine time, in milliseconds. It doubles with each further crash. A false
/// positive costs the caller this time, a false negative costs one server.
const BASE_QUARANTINE_MS: u64 = 60_000;

/// Maximum quarantine time, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 480_000;

/// Time for which a record is kept after its last crash or success, in milliseconds.
pub(super) const RETENTION_MS: u64 = 600_000;

/// Crash history of a single request.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Server instances that crashed while running the request, and when; oldest first. Crashes
    /// before the last success are kept, so that a late report of them is recognised as known.
    crashes: SmallVec<[(ServerId, Millis); 4]>,
    succeeded_at: Option<Millis>,
    changed_at: Millis,
    /// Start and expiry of the exclusive probe that lets one copy of the request run.
    probe: Option<(Millis, Millis)>,
}

impl Record {
    /// Records that a server instance crashed at `at`; returns `false` if that was known.
    pub(super) fn record_crash(&mut self, server: ServerId, at: Millis, now: Millis) -> bool {
        if self.crashes.iter().any(|(known, _)| *known == server) {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push((server, at));
        // A crash before the probe started was caused by another copy.
        self.probe = self.probe.filter(|(since, _)| at < *since);
        self.crashes.sort_by_key(|(_, at)| *at);
        self.changed_at = now;
        true
    }

    /// Records that the request succeeded at `at`; returns `false` if a later success is known.
    pub(super) fn record_success(&mut self, at: Millis, now: Millis) -> bool {
        if self.succeeded_at >= Some(at) {
            return false;
        }
        self.succeeded_at = Some(at);
        self.probe = None;
        self.changed_at = now;
        true
    }

    /// Starts an exclusive probe that expires at `until`; returns `false` while another one is
    /// in progress.
    pub(super) fn start_probe(&mut self, until: Millis, now: Millis) -> bool {
        if self.probe.is_some_and(|(_, until)| until > now) {
            return false;
        }
        self.probe = Some((now, until));
        true
    }

    /// Returns the verdict on the request. A crash that was part of a mass crash of servers
    /// which did not run the request does not count.
    pub(super) fn verdict(&self, all: &Crashes, now: Millis) -> Verdict {
        let since = self.succeeded_at.unwrap_or(0);
        let is_own = |server| self.crashes.iter().any(|(own, _)| *own == server);
        let counted = self.crashes.iter().filter(|(_, at)| *at > since);
        let mut counted = counted.filter(|(_, at)| !all.is_mass_crash(*at, is_own));
        let crashes = u32::try_from(counted.clone().count()).unwrap_or(u32::MAX);
        let Some((_, last)) = counted.next_back() else {
            return Verdict::Clear;
        };
        let until = last.saturating_add(quarantine_ms(crashes));
        if crashes >= CONVICTION_THRESHOLD && now < until {
            return Verdict::Convicted { crashes, until };
        }
        Verdict::Suspect { crashes }
    }

    pub(super) fn snapshot(&self, digest: Digest, now: Millis) -> Suspect {
        let crashes = self.crashes.iter().map(|&(server, at)| Crash {
            server,
            age_ms: now.saturating_sub(at),
        });
        Suspect {
            digest,
            crashes: crashes.collect(),
            success_age_ms: self.succeeded_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Merges a report from another gateway; returns `true` if that changed the record.
    pub(super) fn merge(&mut self, suspect: &Suspect, now: Millis) -> bool {
        let mut is_changed = false;
        for crash in &suspect.crashes {
            is_changed |= self.record_crash(crash.server, now.saturating_sub(crash.age_ms), now);
        }
        if let Some(age_ms) = suspect.success_age_ms {
            is_changed |= self.merge_success(now.saturating_sub(age_ms), now);
        }
        is_changed
    }

    /// Merges a success that another gateway reported. It is a change only if it clears a crash:
    /// message delay shifts the reported time a little with each relay, so that two gateways
    /// would otherwise repeat the same success to each other forever.
    fn merge_success(&mut self, at: Millis, now: Millis) -> bool {
        let known = self.succeeded_at.unwrap_or(0);
        let mut crashes = self.crashes.iter();
        let clears = crashes.any(|(_, crash)| *crash > known && *crash <= at);
        if clears {
            return self.record_success(at, now);
        }
        self.succeeded_at = self.succeeded_at.max(Some(at));
        false
    }

    /// Eviction priority; the record with the lowest one is evicted first.
    pub(super) fn priority(&self) -> (usize, Millis) {
        (self.crashes.len(), self.changed_at)
    }

    pub(super) const fn changed_at(&self) -> Millis {
        self.changed_at
    }

    /// Returns whether the retention time has passed.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let last = self.crashes.last().map_or(0, |(_, at)| *at);
        let last = last.max(self.succeeded_at.unwrap_or(0));
        now.saturating_sub(last) >= RETENTION_MS
    }
}

/// Quarantine time after this many crashes, in milliseconds.
fn quarantine_ms(crashes: u32) -> u64 {
    let doubled = crashes
        .saturating_sub(CONVICTION_THRESHOLD)
        .min(u64::BITS - 1);
    BASE_QUARANTINE_MS
        .saturating_mul(1 << doubled)
        .min(MAX_QUARANTINE_MS)
}
