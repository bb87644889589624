//! When the archive of origins is read.

use mulberryyoke_model::Millis;

/// Time for which a read tells all that the archive knows, in milliseconds: callers that came too
/// early come back within it.
const MIN_VALID_MS: Millis = 5_000;

/// The same in a large fleet, per gateway: it bounds the reads of all together.
const VALID_PER_GATEWAY_MS: Millis = 10;

/// Reads of the archive. The first one is wanted from the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reads {
    /// Start of the latest read that succeeded.
    latest: Option<Millis>,
    /// Whether a read is wanted or running.
    is_wanted: bool,
}

impl Reads {
    /// Returns whether a read may still bring what is not known, and wants one if it may.
    pub fn may_bring_more(&mut self, gateways: usize, now: Millis) -> bool {
        let gateways = Millis::try_from(gateways).unwrap_or(Millis::MAX);
        let valid = gateways
            .saturating_mul(VALID_PER_GATEWAY_MS)
            .max(MIN_VALID_MS);
        let is_valid = |latest: Millis| now.saturating_sub(latest) < valid;
        self.is_wanted |= !self.latest.is_some_and(is_valid);
        self.is_wanted
    }

    /// Returns whether a read has to be made.
    #[must_use]
    pub const fn is_wanted(&self) -> bool {
        self.is_wanted || self.latest.is_none()
    }

    /// Records that a read succeeded that began at `start`.
    pub const fn record(&mut self, start: Millis) {
        self.latest = Some(start);
        self.is_wanted = false;
    }
}
