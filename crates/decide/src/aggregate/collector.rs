//! Which gateways of a zone add up what all of them have.

use std::cmp::Reverse;

use mulberryyoke_model::whole_u32;
use xxhash_rust::xxh3::xxh3_64;

/// Gateways of a zone that add up what all of them have: one may be gone or cut off.
pub const COLLECTORS_PER_ZONE: usize = 2;

/// Steps in which the part of a processor is told, for one whole processor.
const WHOLE: f64 = 1_000.0;

/// Where a gateway runs and what it runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Its availability zone.
    pub zone: String,
    /// Thousandths of a processor that it has.
    pub millicpus: u32,
}

impl Placement {
    /// A place with a part of a processor.
    #[must_use]
    pub fn new(zone: &str, processors: f64) -> Self {
        let thousandths = whole_u32((processors * WHOLE).round());
        Self {
            zone: zone.to_owned(),
            millicpus: thousandths,
        }
    }

    /// The part of a processor that it has.
    #[must_use]
    pub fn cpus(&self) -> f64 {
        f64::from(self.millicpus) / WHOLE
    }
}

/// Gateways in the order in which they are to work for others: those with most of a
/// processor first, so that the smallest only serve callers. All that know the same
/// gateways agree.
#[must_use]
pub fn rank_by_cpu<'a>(gateways: impl Iterator<Item = (&'a str, &'a Placement)>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = gateways
        .map(|(name, place)| (Reverse(place.millicpus), name_hash(name), name))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, name)| name).collect()
}

/// A hash of a name, by which gateways of one size are ordered.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
