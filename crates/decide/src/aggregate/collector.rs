//! Selection of the collectors of an availability zone.

use std::cmp::Reverse;

use mulberryyoke_model::saturating_u32;
use xxhash_rust::xxh3::xxh3_64;

/// Number of gateways per zone that aggregate its state; one of them may fail.
pub const COLLECTORS_PER_ZONE: usize = 2;

const MILLICPUS_PER_CPU: f64 = 1_000.0;

/// Zone and CPU allocation of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Availability zone.
    pub zone: String,
    /// CPU allocation, in thousandths of a CPU.
    pub millicpus: u32,
}

impl Placement {
    /// A placement with a number of CPUs, rounded to thousandths.
    #[must_use]
    pub fn new(zone: &str, cpus: f64) -> Self {
        let millicpus = saturating_u32((cpus * MILLICPUS_PER_CPU).round());
        Self {
            zone: zone.to_owned(),
            millicpus,
        }
    }

    /// CPU allocation, in CPUs.
    #[must_use]
    pub fn cpus(&self) -> f64 {
        f64::from(self.millicpus) / MILLICPUS_PER_CPU
    }
}

/// Names of the gateways by descending CPU allocation, ties by name hash. The first ones become
/// collectors, so that the smallest gateways only serve clients. The order depends on the set of
/// gateways alone.
#[must_use]
pub fn rank_by_cpu<'a>(gateways: impl Iterator<Item = (&'a str, &'a Placement)>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = gateways
        .map(|(name, place)| (Reverse(place.millicpus), name_hash(name), name))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, name)| name).collect()
}

/// Hash of a name; identifies gateways and zones in messages.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
