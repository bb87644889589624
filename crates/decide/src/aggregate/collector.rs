//! Which gateways of a zone add up what all of them have.

use std::cmp::Reverse;

use mulberryyoke_model::whole_u32;
use xxhash_rust::xxh3::xxh3_64;

/// Gateways of a zone that add up what all of them have: one may be gone or cut off.
pub const COLLECTORS: usize = 2;

/// Steps in which the part of a processor is told, for one whole processor.
const WHOLE: f64 = 1_000.0;

/// Where a gateway runs and what it runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its availability zone.
    pub zone: String,
    /// Thousandths of a processor that it has.
    pub thousandths: u32,
}

impl Place {
    /// A place with a part of a processor.
    #[must_use]
    pub fn new(zone: &str, processors: f64) -> Self {
        let thousandths = whole_u32((processors * WHOLE).round());
        Self {
            zone: zone.to_owned(),
            thousandths,
        }
    }

    /// The part of a processor that it has.
    #[must_use]
    pub fn processors(&self) -> f64 {
        f64::from(self.thousandths) / WHOLE
    }
}

/// Gateways in the order in which they are to work for others: those with most of a
/// processor first, so that the smallest only serve callers. All that know the same
/// gateways agree.
#[must_use]
pub fn ranked<'a>(gateways: impl Iterator<Item = (&'a str, &'a Place)>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = gateways
        .map(|(name, place)| (Reverse(place.thousandths), rank(name), name))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, name)| name).collect()
}

/// A hash of a name, by which gateways of one size are ordered.
#[must_use]
pub fn rank(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
