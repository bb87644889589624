//! Crash history of a single request.

use mulberryyoke_model::{Digest, Millis, ServerId, VersionId};
use smallvec::SmallVec;

use super::crashes::Crashes;
use super::successes::Successes;
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

/// Crash of a server instance while it ran the request.
#[derive(Clone, Copy, Debug)]
struct KnownCrash {
    server: ServerId,
    at: Millis,
    /// Version of the server's software, if known.
    version: Option<VersionId>,
}

/// Crash history of a single request.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Oldest first. Crashes before the last success are kept, so that a late report of them is
    /// recognised as known.
    crashes: SmallVec<[KnownCrash; 4]>,
    /// The last time that all crashes before were cleared, which other gateways are told.
    cleared_at: Option<Millis>,
    /// Successes on this gateway.
    successes: Successes,
    changed_at: Millis,
    /// Start and expiry of the exclusive probe that lets one copy of the request run.
    probe: Option<(Millis, Millis)>,
}

impl Record {
    /// Records that a server instance crashed at `at`; returns `false` if that was known.
    pub(super) fn record_crash(
        &mut self,
        (server, version): (ServerId, Option<VersionId>),
        at: Millis,
        now: Millis,
    ) -> bool {
        if self.crashes.iter().any(|known| known.server == server) {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(KnownCrash {
            server,
            at,
            version,
        });
        // A crash before the probe started was caused by another copy.
        self.probe = self.probe.filter(|(since, _)| at < *since);
        self.crashes.sort_by_key(|crash| crash.at);
        self.changed_at = now;
        true
    }

    /// Records that the request succeeded on a server of a version. That clears the crashes of this
    /// version; it clears all if no others are left, and then returns `true`.
    pub(super) fn record_success(&mut self, version: VersionId, now: Millis) -> bool {
        self.successes.record(version, now);
        self.probe = None;
        if self.crashes.iter().any(|crash| !self.is_cleared(crash)) {
            return false;
        }
        self.clear(now, now)
    }

    /// Clears all crashes up to `at`; returns `false` if later ones have been cleared.
    pub(super) fn clear(&mut self, at: Millis, now: Millis) -> bool {
        if self.cleared_at >= Some(at) {
            return false;
        }
        self.cleared_at = Some(at);
        self.probe = None;
        self.changed_at = now;
        true
    }

    /// Whether a success shows that the request did not cause the crash.
    fn is_cleared(&self, crash: &KnownCrash) -> bool {
        let cleared_at = self.cleared_at.max(self.successes.last_on(crash.version));
        cleared_at.is_some_and(|cleared_at| crash.at <= cleared_at)
    }

    /// Crashes that count against the request. One that was part of a mass crash of servers which
    /// did not run the request does not.
    fn counted<'a>(&'a self, all: &'a Crashes) -> impl DoubleEndedIterator<Item = &'a KnownCrash> {
        let is_own = |server| self.crashes.iter().any(|own| own.server == server);
        let uncleared = self.crashes.iter().filter(|crash| !self.is_cleared(crash));
        uncleared.filter(move |crash| !all.is_mass_crash(crash.at, is_own))
    }

    /// Server instances whose crashes count against the request.
    pub(super) fn counted_servers(&self, all: &Crashes) -> Vec<ServerId> {
        self.counted(all).map(|crash| crash.server).collect()
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

    /// Ends the probe, as its copy has not run and never will.
    pub(super) const fn withdraw_probe(&mut self) {
        self.probe = None;
    }

    /// Returns the verdict on the request. After a success on servers of any version it may run
    /// until the next crash, which then counts together with those of other versions.
    pub(super) fn verdict(&self, all: &Crashes, now: Millis) -> Verdict {
        let mut counted = self.counted(all);
        let Some(last) = counted.next_back() else {
            return Verdict::Clear;
        };
        if self.successes.last() >= Some(last.at) {
            return Verdict::Clear;
        }
        let crashes = u32::try_from(counted.count() + 1).unwrap_or(u32::MAX);
        let until = last.at.saturating_add(quarantine_ms(crashes));
        if crashes >= CONVICTION_THRESHOLD && now < until {
            return Verdict::Convicted { crashes, until };
        }
        Verdict::Suspect { crashes }
    }

    pub(super) fn snapshot(&self, digest: Digest, now: Millis) -> Suspect {
        // Those that a success on the same version cleared are not told: other gateways could not
        // tell that they are cleared.
        let told = self.crashes.iter().filter(|crash| {
            let is_before_clearing = self.cleared_at >= Some(crash.at);
            is_before_clearing || !self.is_cleared(crash)
        });
        let crashes = told.map(|crash| Crash {
            server: crash.server,
            age_ms: now.saturating_sub(crash.at),
        });
        Suspect {
            digest,
            crashes: crashes.collect(),
            success_age_ms: self.cleared_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Merges a report from another gateway; returns `true` if that changed the record. `version`
    /// tells the version of a server, if known.
    pub(super) fn merge(
        &mut self,
        suspect: &Suspect,
        version: impl Fn(ServerId) -> Option<VersionId>,
        now: Millis,
    ) -> bool {
        let mut is_changed = false;
        for crash in &suspect.crashes {
            let server = (crash.server, version(crash.server));
            is_changed |= self.record_crash(server, now.saturating_sub(crash.age_ms), now);
        }
        if let Some(age_ms) = suspect.success_age_ms {
            is_changed |= self.merge_clearing(now.saturating_sub(age_ms), now);
        }
        is_changed
    }

    /// Merges a clearing that another gateway reported. It is a change only if it clears a crash:
    /// message delay shifts the reported time a little with each relay, so that two gateways
    /// would otherwise repeat the same one to each other forever.
    fn merge_clearing(&mut self, at: Millis, now: Millis) -> bool {
        let known = self.cleared_at.unwrap_or(0);
        let mut crashes = self.crashes.iter();
        let clears = crashes.any(|crash| crash.at > known && crash.at <= at);
        if clears {
            return self.clear(at, now);
        }
        self.cleared_at = self.cleared_at.max(Some(at));
        false
    }

    /// Eviction priority; the record with the lowest one is evicted first.
    pub(super) fn priority(&self) -> (usize, Millis) {
        (self.crashes.len(), self.changed_at)
    }

    /// Marks the record as changed, so that other gateways are told of it.
    pub(super) const fn touch(&mut self, now: Millis) {
        self.changed_at = now;
    }

    pub(super) const fn changed_at(&self) -> Millis {
        self.changed_at
    }

    /// Returns whether the retention time has passed.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let last = self.crashes.last().map_or(0, |crash| crash.at);
        let last = last.max(self.cleared_at.unwrap_or(0));
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
