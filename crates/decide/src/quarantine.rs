//! Which requests end the servers that run them, and are to reach no more of them.
//!
//! A request is known by its digest, so that a caller's repeat at any gateway is the same one.
//! Evidence is a life of a server that ended while the request was there: a broken answer alone
//! is none. Up to 63 others stand beside such a request, so what tells them apart is what comes
//! after: one that ends well anywhere is cleared at once, as a request of this sort ends every
//! server that runs it; and one that is under suspicion runs in one copy at a time, apart from
//! other suspects, so that the next end names one of them.
//!
//! The load that it answers: one customer's request came again and again at three gateways and
//! ended 21 servers of a pool of twelve, each with the streams of everybody else there.

mod lives;
mod record;
mod suspect;
mod verdict;

use std::collections::HashMap;

use mulberryyoke_model::{Digest, Millis, ServerId};

use self::lives::Lives;
pub use self::record::CONVICTION_THRESHOLD;
use self::record::Record;
pub use self::suspect::{Crash, Suspect};
pub use self::verdict::Verdict;
use crate::aggregate::name_hash;
use crate::rendezvous::weight;

/// Requests that are remembered. With more, those with the least and oldest evidence are
/// forgotten: 4,096 records take about 1 MB by the size of their fields, however many different
/// bad requests come.
const RECORDS: usize = 4_096;

/// Broken requests that are remembered for each server until its end is known.
const BROKEN: usize = 1_024;

/// Time in which a server must be found to have ended after a request broke off there, in
/// milliseconds: its registration lapses after three silent heartbeats, about four seconds.
const WITNESS_MS: u64 = 10_000;

/// Time for which others are told of a change, in milliseconds: messages reach every gateway
/// within one second, and some are lost.
const TELL_MS: u64 = 2_000;

/// Suspects that one message tells, those with the most evidence first: less than 3 KB with
/// three ends each.
const TOLD: usize = 64;

/// Time that one copy under suspicion has for itself, in milliseconds: such a request ends its
/// server within tenths of a second.
const TRIAL_MS: u64 = 1_000;

/// The gateway that decides about a request, among those of these names: all that know the same
/// names agree. `None` without names.
pub fn arbiter<'a>(digest: Digest, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of a hash is one as well"
    )]
    let subject = digest.0 as u64;
    names.max_by_key(|name| (weight(name_hash(name), subject), *name))
}

/// What a gateway knows of requests that ended servers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Digest, Record>,
    /// Requests that broke off at servers of which nothing more is known.
    broken: HashMap<ServerId, Vec<(Digest, Millis)>>,
    /// Lives that ended, whatever they ran.
    lives: Lives,
}

impl Quarantine {
    /// Whether nothing is known of any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// What a request may do.
    #[must_use]
    pub fn verdict(&self, digest: Digest, now: Millis) -> Verdict {
        let record = self.records.get(&digest);
        record.map_or(Verdict::Clear, |record| record.verdict(&self.lives, now))
    }

    /// Notes that a request broke off at a life of a server.
    pub fn record_failure(&mut self, server: ServerId, digest: Digest, now: Millis) {
        let broken = self.broken.entry(server).or_default();
        let is_known = broken.iter().any(|(known, _)| *known == digest);
        if !is_known && broken.len() < BROKEN {
            broken.push((digest, now));
        }
    }

    /// Notes that a life of a server is known to have ended, which it did when the first of those
    /// broke off there that did so shortly before. Returned are the requests that have more than
    /// one such end now.
    pub fn record_crash(&mut self, server: ServerId, now: Millis) -> Vec<(Digest, Verdict)> {
        let broken = self.broken.remove(&server).unwrap_or_default();
        let recent = broken
            .into_iter()
            .filter(|(_, at)| now.saturating_sub(*at) < WITNESS_MS);
        let recent: Vec<(Digest, Millis)> = recent.collect();
        let Some(at) = recent.iter().map(|(_, at)| *at).min() else {
            return Vec::new();
        };
        self.lives.end(server, at);
        for (digest, _) in &recent {
            self.record(*digest).end(server, at, now);
        }
        let digests = recent.into_iter().map(|(digest, _)| digest);
        let verdicts = digests.map(|digest| (digest, self.verdict(digest, now)));
        verdicts
            .filter(|(_, verdict)| verdict.crashes() > 1)
            .collect()
    }

    /// Notes that a run of a request ended well; the ends that it had been held for, if any.
    pub fn record_success(&mut self, digest: Digest, now: Millis) -> u32 {
        let Some(record) = self.records.get_mut(&digest) else {
            return 0;
        };
        let held_for = record.verdict(&self.lives, now).crashes();
        if held_for > 0 {
            record.survive(now, now);
        }
        held_for
    }

    /// Allows one copy of a request under suspicion for a while; `false` if another has it, or
    /// if none may run.
    pub fn admit(&mut self, digest: Digest, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(&digest) else {
            return true;
        };
        match record.verdict(&self.lives, now) {
            Verdict::Clear => true,
            Verdict::Convicted { .. } => false,
            Verdict::Suspect { .. } => record.try_for(now + TRIAL_MS, now),
        }
    }

    /// What is known of a request, for another gateway.
    #[must_use]
    pub fn snapshot(&self, digest: Digest, now: Millis) -> Suspect {
        let record = self.records.get(&digest);
        record.map_or_else(|| Suspect::new(digest), |record| record.tell(digest, now))
    }

    /// Takes in what another gateway knows of a request; `true` if that changed something.
    pub fn merge(&mut self, suspect: &Suspect, now: Millis) -> bool {
        if suspect.is_empty() {
            return false;
        }
        for end in &suspect.crashes {
            self.lives.end(end.server, now.saturating_sub(end.age_ms));
        }
        let record = self.record(suspect.digest);
        record.merge(suspect, now)
    }

    /// What others are to be told: what changed lately, with the most evidence first.
    #[must_use]
    pub fn updates(&self, now: Millis) -> Vec<Suspect> {
        let changed = self
            .records
            .iter()
            .filter(|(_, record)| now.saturating_sub(record.changed_at()) < TELL_MS);
        let mut changed: Vec<(&Digest, &Record)> = changed.collect();
        changed.sort_by_key(|(digest, record)| {
            let ended = record.verdict(&self.lives, now).crashes();
            (u32::MAX - ended, **digest)
        });
        changed.truncate(TOLD);
        let told = changed.into_iter();
        told.map(|(digest, record)| record.tell(*digest, now))
            .collect()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Millis) {
        self.records.retain(|_, record| !record.is_over(now));
        self.lives.expire(now);
        self.broken.retain(|_, broken| {
            broken.retain(|(_, at)| now.saturating_sub(*at) < WITNESS_MS);
            !broken.is_empty()
        });
    }

    /// The record of a request, begun if there is none.
    fn record(&mut self, digest: Digest) -> &mut Record {
        if self.records.len() >= RECORDS && !self.records.contains_key(&digest) {
            let least = self.records.iter();
            let least = least.min_by_key(|(_, record)| record.weight());
            let least = least.map(|(digest, _)| *digest);
            least.and_then(|digest| self.records.remove(&digest));
        }
        self.records.entry(digest).or_default()
    }
}
