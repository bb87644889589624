//! When a gateway writes and removes the records of versions.

use std::collections::BTreeMap;

use mulberryyoke_model::{Millis, PoolId};

use super::records::{Conclusion, PoolVersion, Records};
use super::versions::RETENTION_MS;

/// Time for the watchers to write a record, after which other gateways do, in milliseconds.
const WATCHERS_TIME_MS: Millis = 1_000;

/// Random delay of the others, per gateway, in milliseconds: in a large fleet few write before they
/// learn that one has.
const SPREAD_PER_GATEWAY_MS: Millis = 20;

/// Time after which a write is repeated whose effect has not been seen, in milliseconds.
const RETRY_MS: Millis = 1_000;

/// Time from the announcement that a record is removed to its removal, in milliseconds. A gateway
/// whose copy lags by less begins no stream on the version meanwhile.
const RETIREMENT_MS: Millis = 60_000;

/// Time after a gateway's first copy in which callers resume streams that began before it, in
/// milliseconds.
const RESUMPTION_MS: Millis = 10_000;

/// Maximum number of records, about 100 KB of keys and values.
const MAX_RECORDS: usize = 2_048;

/// What a gateway knows when it decides on writes.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// Versions of the registered servers.
    pub registered: &'a [PoolVersion],
    /// Pools at least half of whose servers are of versions on which streams may begin.
    pub served: &'a [PoolId],
    /// Whether this gateway is one of those that watch the key-value service.
    pub is_watcher: bool,
    /// Number of gateways.
    pub gateways: usize,
    /// Whether this gateway's copy is up to date.
    pub is_fresh: bool,
    /// The current time.
    pub now: Millis,
}

/// A write to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// Records a version, whose record is at a revision; 0 if there is none.
    Record(PoolVersion, u64),
    /// Announces that a record is removed, if it still is at a revision.
    Retire(PoolVersion, u64),
    /// Removes a record, if it still is at a revision.
    Remove(PoolVersion, u64),
    /// Marks the records as complete in an era.
    Mark(u64),
}

/// Since when no server of a recorded version is registered.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Millis,
    /// Since when the record is about to be removed.
    retiring_since: Option<Millis>,
    /// When the next write of a removal may be made.
    next: Millis,
}

/// Decides when a gateway writes and removes the records of versions.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    /// When records are written next, by version.
    due: BTreeMap<PoolVersion, Millis>,
    /// When the mark is written next.
    mark_due: Option<Millis>,
    /// Recorded versions without registered servers.
    absent: BTreeMap<PoolVersion, Absence>,
    /// The era, and since when this gateway has known it.
    era: Option<(u64, Millis)>,
    /// Until when callers may resume streams that began before this gateway's first copy.
    resumed_until: Option<Millis>,
}

impl Recorder {
    /// Returns the writes to make now. `random` returns a number below its argument.
    pub fn plan(
        &mut self,
        records: &Records,
        situation: &Situation<'_>,
        mut random: impl FnMut(u64) -> u64,
    ) -> Vec<Write> {
        let Some(era) = records.era() else {
            return Vec::new();
        };
        self.resumed_until.get_or_insert_with(|| {
            let has_earlier = !records.knows_all();
            let resumption_ms = if has_earlier { RESUMPTION_MS } else { 0 };
            situation.now.saturating_add(resumption_ms)
        });
        if self.era.is_none_or(|(known, _)| known != era) {
            self.era = Some((era, situation.now));
            self.absent.clear();
        }
        let mut writes = self.plan_records(records, situation, &mut random);
        writes.extend(self.plan_mark(records, era, situation, &mut random));
        writes.extend(self.plan_removals(records, situation));
        writes
    }

    fn plan_records(
        &mut self,
        records: &Records,
        situation: &Situation<'_>,
        random: &mut impl FnMut(u64) -> u64,
    ) -> Vec<Write> {
        let registered = situation.registered.iter().copied();
        let missing = registered.filter(|version| {
            !records.is_usable(*version) && !self.may_wait(*version, records, situation)
        });
        let mut missing: Vec<PoolVersion> = missing.chain(records.lost().iter().copied()).collect();
        missing.sort_unstable();
        missing.dedup();
        self.due.retain(|version, _| missing.contains(version));
        let mut writes = Vec::new();
        for version in missing {
            let known = records.get(version);
            if known.is_none() && records.len() + writes.len() >= MAX_RECORDS {
                continue;
            }
            let due = self.due.entry(version).or_insert_with(|| {
                situation
                    .now
                    .saturating_add(first_delay_ms(situation, random))
            });
            if *due <= situation.now {
                *due = situation.now.saturating_add(RETRY_MS);
                let revision = known.map_or(0, |record| record.revision);
                writes.push(Write::Record(version, revision));
            }
        }
        writes
    }

    /// Whether a version may be recorded later: as long as one version of its pool is recorded, a stream
    /// whose origin was lost with all gateways can have begun on no other.
    fn may_wait(
        &self,
        (pool, _): PoolVersion,
        records: &Records,
        situation: &Situation<'_>,
    ) -> bool {
        self.resumed_until
            .is_some_and(|until| situation.now < until)
            && situation.served.contains(&pool)
            && matches!(records.conclude(pool), Conclusion::Only(_))
    }

    /// Marks the records as complete after a restore: by a gateway that has all of them again, or
    /// once all streams that it does not know of have ended.
    fn plan_mark(
        &mut self,
        records: &Records,
        era: u64,
        situation: &Situation<'_>,
        random: &mut impl FnMut(u64) -> u64,
    ) -> Option<Write> {
        let (_, since) = self.era?;
        let has_outlasted = situation.now.saturating_sub(since) >= RETENTION_MS;
        let may_mark = records.lost().is_empty() && (records.knows_all() || has_outlasted);
        if records.is_marked() || !may_mark {
            self.mark_due = None;
            return None;
        }
        let due = self.mark_due.get_or_insert_with(|| {
            situation
                .now
                .saturating_add(first_delay_ms(situation, random))
        });
        if *due > situation.now {
            return None;
        }
        *due = situation.now.saturating_add(RETRY_MS);
        Some(Write::Mark(era))
    }

    fn plan_removals(&mut self, records: &Records, situation: &Situation<'_>) -> Vec<Write> {
        let now = situation.now;
        if !situation.is_fresh {
            // A server may have been registered meanwhile.
            self.absent.clear();
            return Vec::new();
        }
        let is_absent = |version: &PoolVersion| {
            records.get(*version).is_some() && !situation.registered.contains(version)
        };
        self.absent.retain(|version, _| is_absent(version));
        let mut writes = Vec::new();
        for (version, record) in records.iter().filter(|(version, _)| is_absent(version)) {
            let absence = self.absent.entry(version).or_insert(Absence {
                since: now,
                retiring_since: None,
                next: 0,
            });
            if record.is_retiring {
                absence.retiring_since.get_or_insert(now);
            } else {
                absence.retiring_since = None;
            }
            if situation.is_watcher {
                writes.extend(absence.write(version, record.revision, now));
            }
        }
        writes
    }
}

impl Absence {
    /// Returns the next write that removes the record, if it is time.
    fn write(&mut self, version: PoolVersion, revision: u64, now: Millis) -> Option<Write> {
        if now < self.next || now.saturating_sub(self.since) < RETENTION_MS {
            return None;
        }
        let write = match self.retiring_since {
            None => Write::Retire(version, revision),
            Some(since) if now.saturating_sub(since) >= RETIREMENT_MS => {
                Write::Remove(version, revision)
            }
            Some(_) => return None,
        };
        self.next = now.saturating_add(RETRY_MS);
        Some(write)
    }
}

/// Time after which a gateway writes what is missing, in milliseconds.
fn first_delay_ms(situation: &Situation<'_>, random: &mut impl FnMut(u64) -> u64) -> Millis {
    if situation.is_watcher {
        return 0;
    }
    let gateways = u64::try_from(situation.gateways).unwrap_or(u64::MAX);
    let spread_ms = gateways.saturating_mul(SPREAD_PER_GATEWAY_MS).max(1);
    WATCHERS_TIME_MS + random(spread_ms)
}
