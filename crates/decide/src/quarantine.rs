//! Quarantine of requests that crash the servers running them (poison requests).
//!
//! A request is identified by its digest, so that a retry through any gateway counts as the same
//! request. Evidence against it is the crash of a server instance while the request was running
//! there; a broken response alone is none. Since up to 63 other requests run on the same server,
//! two rules separate the culprit from them: a request that succeeds may run until the next crash,
//! and a suspect runs in one copy at a time, isolated from other suspects. A success clears the
//! crashes of servers of the same version only, as another version may not crash.
//!
//! This guards against a customer retrying one poison request until it has crashed every server
//! of a pool, along with everyone else's streams there.

mod crashes;
mod failure;
pub mod parts;
mod record;
mod successes;
mod suspect;
mod verdict;

use std::collections::HashMap;

use mulberryyoke_model::{Digest, Millis, ServerId, VersionId};

use self::crashes::Crashes;
pub use self::failure::Failure;
pub use self::record::CONVICTION_THRESHOLD;
use self::record::Record;
pub use self::suspect::{Crash, Suspect};
pub use self::verdict::Verdict;
use crate::aggregate::name_hash;
use crate::rendezvous::weight;

/// Maximum number of records, about 1 MB. Those with the fewest and oldest crashes are evicted
/// first.
const MAX_RECORDS: usize = 4_096;

/// Maximum number of failed requests kept per server until its state is known.
const MAX_FAILURES: usize = 1_024;

/// Time after a request failure within which the crash of its server must be detected, in
/// milliseconds. A registration lapses after three missed heartbeats, about four seconds.
const DETECTION_MS: u64 = 10_000;

/// Time for which a change is sent to other gateways, in milliseconds. Messages reach every
/// gateway within a second, but some are lost.
const GOSSIP_MS: u64 = 2_000;

/// Maximum number of suspects per message, about 3 KB with three crashes each.
const MAX_UPDATES: usize = 64;

/// Time for which one copy of a suspect request runs exclusively, in milliseconds. A poison
/// request crashes its server within a few hundred.
const PROBE_MS: u64 = 1_000;

/// Returns the gateway, among `names`, that decides about a request. Gateways that know the same
/// names choose the same one.
pub fn arbiter<'a>(digest: Digest, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of a hash is still uniformly distributed"
    )]
    let subject = digest.0 as u64;
    names.max_by_key(|name| (weight(name_hash(name), subject), *name))
}

/// A gateway's records of requests that crashed servers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Digest, Record>,
    /// Requests that failed on servers not yet known to have crashed.
    failures: HashMap<ServerId, Vec<Failure>>,
    /// Crashes of all servers, whatever they were running.
    crashes: Crashes,
}

impl Quarantine {
    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the verdict on a request.
    #[must_use]
    pub fn verdict(&self, digest: Digest, now: Millis) -> Verdict {
        let record = self.records.get(&digest);
        record.map_or(Verdict::Clear, |record| record.verdict(&self.crashes, now))
    }

    /// Records that a request failed while running on a server instance. What is known of a request
    /// counts unless it was silence, which the server may have ended since.
    pub fn record_failure(&mut self, server: ServerId, failure: Failure) {
        let failures = self.failures.entry(server).or_default();
        let known = failures
            .iter()
            .position(|known| known.digest == failure.digest);
        match known {
            Some(index) if failures[index].is_silence => failures[index] = failure,
            None if failures.len() < MAX_FAILURES => failures.push(failure),
            _ => {}
        }
    }

    /// Records that a server instance of a version crashed, dated to the first of its recent request
    /// failures; `heard_at` is when it last responded to anything. Returns the requests that now
    /// have more than one crash.
    pub fn record_crash(
        &mut self,
        (server, version): (ServerId, VersionId),
        heard_at: Millis,
        now: Millis,
    ) -> Vec<(Digest, Verdict)> {
        let failures = self.failures.remove(&server).unwrap_or_default();
        let recent = failures.into_iter().filter(|failure| {
            now.saturating_sub(failure.at) < DETECTION_MS && failure.may_be_cause(heard_at)
        });
        let recent: Vec<Failure> = recent.collect();
        let Some(at) = recent.iter().map(|failure| failure.at).min() else {
            return Vec::new();
        };
        self.crashes.record(server, at);
        for failure in &recent {
            let server = (server, Some(version));
            self.record(failure.digest).record_crash(server, at, now);
        }
        let digests = recent.into_iter().map(|failure| failure.digest);
        let verdicts = digests.map(|digest| (digest, self.verdict(digest, now)));
        verdicts
            .filter(|(_, verdict)| verdict.crashes() > 1)
            .collect()
    }

    /// Returns whether a server instance crashed together with several others, so that its crash
    /// is no evidence.
    #[must_use]
    pub fn is_mass_crash(&self, server: ServerId) -> bool {
        let at = self.crashes.time_of(server);
        at.is_some_and(|at| self.crashes.is_mass_crash(at, |other| other == server))
    }

    /// Records that a request succeeded on a server of a version. Returns the number of crashes that
    /// counted against it, if that cleared all of them.
    pub fn record_success(&mut self, digest: Digest, version: VersionId, now: Millis) -> u32 {
        let Some(record) = self.records.get_mut(&digest) else {
            return 0;
        };
        let crashes = record.counted_servers(&self.crashes).len();
        if crashes == 0 || !record.record_success(version, now) {
            return 0;
        }
        u32::try_from(crashes).unwrap_or(u32::MAX)
    }

    /// Clears a request of all crashes. Returns the number of those that counted against it.
    pub fn clear(&mut self, digest: Digest, now: Millis) -> u32 {
        let Some(record) = self.records.get_mut(&digest) else {
            return 0;
        };
        let crashes = record.counted_servers(&self.crashes).len();
        if crashes > 0 {
            record.clear(now, now);
        }
        u32::try_from(crashes).unwrap_or(u32::MAX)
    }

    /// Returns the server instances whose crashes count against a request.
    #[must_use]
    pub fn counted_servers(&self, digest: Digest) -> Vec<ServerId> {
        let record = self.records.get(&digest);
        record.map_or_else(Vec::new, |record| record.counted_servers(&self.crashes))
    }

    /// Returns whether a copy of the request may run now. For a suspect this starts a probe that
    /// excludes other copies until it expires.
    pub fn admit(&mut self, digest: Digest, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(&digest) else {
            return true;
        };
        match record.verdict(&self.crashes, now) {
            Verdict::Clear => true,
            Verdict::Convicted { .. } => false,
            Verdict::Suspect { .. } => record.start_probe(now + PROBE_MS, now),
        }
    }

    /// Ends the probe of a request whose copy has not run and never will. The caller makes sure that
    /// the probe has not expired, as another copy may have one then.
    pub fn withdraw(&mut self, digest: Digest) {
        if let Some(record) = self.records.get_mut(&digest) {
            record.withdraw_probe();
        }
    }

    /// Returns a report on a request for another gateway.
    #[must_use]
    pub fn snapshot(&self, digest: Digest, now: Millis) -> Suspect {
        let record = self.records.get(&digest);
        record.map_or_else(
            || Suspect::new(digest),
            |record| record.snapshot(digest, now),
        )
    }

    /// Merges a report from another gateway; returns `true` if that changed the record. `version`
    /// tells the version of a server, if known.
    pub fn merge(
        &mut self,
        suspect: &Suspect,
        version: impl Fn(ServerId) -> Option<VersionId>,
        now: Millis,
    ) -> bool {
        if suspect.is_empty() {
            return false;
        }
        for crash in &suspect.crashes {
            self.crashes
                .record(crash.server, now.saturating_sub(crash.age_ms));
        }
        let record = self.record(suspect.digest);
        record.merge(suspect, version, now)
    }

    /// Returns reports on the recently changed records, those with the most crashes first.
    #[must_use]
    pub fn updates(&self, now: Millis) -> Vec<Suspect> {
        let changed = self
            .records
            .iter()
            .filter(|(_, record)| now.saturating_sub(record.changed_at()) < GOSSIP_MS);
        let mut changed: Vec<(&Digest, &Record)> = changed.collect();
        changed.sort_by_key(|(digest, record)| {
            let crashes = record.verdict(&self.crashes, now).crashes();
            (u32::MAX - crashes, **digest)
        });
        changed.truncate(MAX_UPDATES);
        let updates = changed.into_iter();
        updates
            .map(|(digest, record)| record.snapshot(*digest, now))
            .collect()
    }

    /// Tells other gateways of all crashes that count once more, as one of them has just started.
    pub fn tell_again(&mut self, now: Millis) {
        let records = self.records.values_mut();
        let suspects = records.filter(|record| !record.counted_servers(&self.crashes).is_empty());
        suspects.for_each(|record| record.touch(now));
    }

    /// Drops expired records, crashes and failures.
    pub fn expire(&mut self, now: Millis) {
        self.records.retain(|_, record| !record.is_expired(now));
        self.crashes.expire(now);
        self.failures.retain(|_, failures| {
            failures.retain(|failure| now.saturating_sub(failure.at) < DETECTION_MS);
            !failures.is_empty()
        });
    }

    /// Returns the record of a request, creating it if necessary.
    fn record(&mut self, digest: Digest) -> &mut Record {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&digest) {
            let evicted = self.records.iter();
            let evicted = evicted.min_by_key(|(_, record)| record.priority());
            let evicted = evicted.map(|(digest, _)| *digest);
            evicted.and_then(|digest| self.records.remove(&digest));
        }
        self.records.entry(digest).or_default()
    }
}
