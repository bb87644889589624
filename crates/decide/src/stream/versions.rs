//! Versions that have recently served each pool.

use std::collections::HashMap;

use mulberryyoke_model::{Millis, PoolId, VersionId};
use smallvec::SmallVec;

/// Time for which a version counts after its last server was registered, in milliseconds. Streams
/// that it began may be resumed for as long as their callers wait.
pub(super) const RETENTION_MS: Millis = 300_000;

/// Maximum number of versions of a pool; the one seen longest ago is evicted first.
const MAX_VERSIONS: usize = 16;

/// A version that served a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The pool.
    pub pool: PoolId,
    /// The version.
    pub version: VersionId,
    /// When it was last seen.
    pub at: Millis,
}

/// How the versions of a pool are known that have recently served it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of versions that this gateway saw itself.
    pub observed: usize,
    /// Number of versions that only other gateways told of.
    pub told: usize,
    /// When the version was last seen that was seen longest ago.
    pub oldest: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: VersionId,
    at: Millis,
    /// Whether this gateway saw it itself. Others are not told of what they told.
    is_observed: bool,
}

/// Versions that have recently served each pool.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    pools: HashMap<PoolId, SmallVec<[Seen; 2]>>,
}

impl Versions {
    /// Records that a server of a version is registered now.
    pub fn observe(&mut self, pool: PoolId, version: VersionId, now: Millis) {
        let sighting = Sighting {
            pool,
            version,
            at: now,
        };
        self.record(sighting, true);
    }

    /// Merges what another gateway saw.
    pub fn merge(&mut self, sighting: Sighting) {
        self.record(sighting, false);
    }

    fn record(&mut self, sighting: Sighting, is_observed: bool) {
        let seen = self.pools.entry(sighting.pool).or_default();
        if let Some(known) = seen
            .iter_mut()
            .find(|seen| seen.version == sighting.version)
        {
            known.at = known.at.max(sighting.at);
            known.is_observed |= is_observed;
            return;
        }
        if seen.len() >= MAX_VERSIONS {
            let oldest = (0..seen.len()).min_by_key(|index| seen[*index].at);
            oldest.map(|index| seen.swap_remove(index));
        }
        seen.push(Seen {
            version: sighting.version,
            at: sighting.at,
            is_observed,
        });
    }

    /// Returns whether a stream of the pool may have begun on another version than one that serves
    /// it now.
    #[must_use]
    pub fn is_mixed(&self, pool: PoolId, now: Millis) -> bool {
        let seen = self.pools.get(&pool).map_or(&[][..], SmallVec::as_slice);
        seen.iter().filter(|seen| seen.is_recent(now)).count() > 1
    }

    /// Returns how the versions of a pool are known that have recently served it.
    #[must_use]
    pub fn summary(&self, pool: PoolId, now: Millis) -> Summary {
        let seen = self.pools.get(&pool).map_or(&[][..], SmallVec::as_slice);
        let recent = seen.iter().filter(|seen| seen.is_recent(now));
        let observed = recent.clone().filter(|seen| seen.is_observed).count();
        Summary {
            observed,
            told: recent.clone().count() - observed,
            oldest: recent.map(|seen| seen.at).min(),
        }
    }

    /// Returns the versions that only other gateways told of.
    #[must_use]
    pub fn told(&self, now: Millis) -> Vec<(PoolId, VersionId)> {
        let pools = self.pools.iter();
        let seen = pools.flat_map(|(pool, seen)| seen.iter().map(|seen| (*pool, *seen)));
        let told = seen.filter(|(_, seen)| !seen.is_observed && seen.is_recent(now));
        told.map(|(pool, seen)| (pool, seen.version)).collect()
    }

    /// Returns the pools that have recently had several versions.
    #[must_use]
    pub fn mixed(&self, now: Millis) -> Vec<PoolId> {
        let pools = self.pools.keys().copied();
        let mut mixed: Vec<PoolId> = pools.filter(|pool| self.is_mixed(*pool, now)).collect();
        mixed.sort_unstable();
        mixed
    }

    /// Returns what this gateway saw of the versions of these pools.
    #[must_use]
    pub fn observed(&self, pools: &[PoolId]) -> Vec<Sighting> {
        let seen = pools.iter().flat_map(|pool| {
            let seen = self.pools.get(pool).into_iter().flatten();
            seen.map(|seen| (*pool, *seen))
        });
        let observed = seen.filter(|(_, seen)| seen.is_observed);
        let sightings = observed.map(|(pool, seen)| Sighting {
            pool,
            version: seen.version,
            at: seen.at,
        });
        sightings.collect()
    }

    /// Drops versions that no longer count.
    pub fn expire(&mut self, now: Millis) {
        self.pools.retain(|_, seen| {
            seen.retain(|seen| seen.is_recent(now));
            !seen.is_empty()
        });
    }
}

impl Seen {
    const fn is_recent(&self, now: Millis) -> bool {
        now.saturating_sub(self.at) < RETENTION_MS
    }
}
