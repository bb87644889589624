//! How often, by which gateways and how much the archive of origins is written.

use mulberryyoke_model::Millis;

use crate::aggregate::name_hash;
use crate::rendezvous::weight;

/// Part of the service's writes that the archive may take, as a divisor.
const SHARE_DIVISOR: f64 = 10.0;

/// Writes per second of a service that does not tell how many it takes.
const DEFAULT_WRITES_PER_S: f64 = 100.0;

/// Minimum interval between writes of a gateway, in milliseconds.
const MIN_INTERVAL_MS: Millis = 500;

/// Interval between writes of a gateway up to which all gateways write, in milliseconds.
const MAX_INTERVAL_MS: Millis = 1_000;

/// Maximum number of entries of all gateways, about 1.3 MB.
const MAX_FLEET_ENTRIES: usize = 131_072;

/// Maximum number of entries of one gateway, about 500 KB in memory.
const MAX_ENTRIES: usize = 16_384;

/// Subject of the weights by which the gateways that write are chosen.
const WRITERS: u64 = 0;

/// Rate and size of this gateway's part of the archive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Number of gateways that write.
    pub writers: usize,
    /// Minimum time from a write to the next one, in milliseconds.
    pub interval: Millis,
    /// The same while several slots have to be written.
    pub spacing: Millis,
    /// Maximum number of entries.
    pub max_entries: usize,
}

impl Pace {
    /// Returns the pace in a fleet of `gateways`, before a service that takes `writes_per_s`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "clamped before the conversion"
    )]
    pub fn of(writes_per_s: Option<f64>, gateways: usize) -> Self {
        let rate = writes_per_s.unwrap_or(DEFAULT_WRITES_PER_S) / SHARE_DIVISOR;
        let per_interval = rate * MAX_INTERVAL_MS as f64 / 1_000.0;
        let gateways = gateways.max(1);
        let writers = (per_interval.clamp(1.0, 1e6) as usize).min(gateways);
        let spacing = (writers as f64 * 1_000.0 / rate.max(1e-3)).clamp(1.0, 1e9);
        let spacing = spacing.ceil() as Millis;
        Self {
            writers,
            interval: spacing.max(MIN_INTERVAL_MS),
            spacing,
            max_entries: (MAX_FLEET_ENTRIES / writers).clamp(1, MAX_ENTRIES),
        }
    }
}

/// Returns the gateway that writes the origins of `own`'s streams: itself, if it is one of the
/// `count` that write. Gateways that know the same names choose the same ones.
pub fn writer<'a>(own: &'a str, names: impl Iterator<Item = &'a str>, count: usize) -> &'a str {
    let mut ranked: Vec<(u64, &str)> = names
        .chain([own])
        .map(|name| (weight(name_hash(name), WRITERS), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count.max(1));
    if ranked.iter().any(|(_, name)| *name == own) {
        return own;
    }
    let subject = name_hash(own);
    let writer = ranked
        .into_iter()
        .max_by_key(|(_, name)| weight(name_hash(name), subject));
    writer.map_or(own, |(_, name)| name)
}
