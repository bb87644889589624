//! Suitability of a server as the source of transfers.

use mulberryyoke_model::Millis;

/// Number of late transfers in a row after which a server is excluded. A single one may be late
/// because the receiver was slow.
const MAX_LATE: u32 = 2;

/// Time for which a server is excluded, in milliseconds.
const EXCLUSION_MS: u64 = 5_000;

/// Suitability of a server as the source of transfers. A server that has evicted the parts, or is
/// unreachable from others, shows in late first tokens of the receivers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Source {
    /// Late transfers since the last one in time.
    late: u32,
    excluded_until: Millis,
}

impl Source {
    /// Whether the server may be named as a source.
    #[must_use]
    pub const fn is_available(&self, now: Millis) -> bool {
        now >= self.excluded_until
    }

    /// Excludes the server until a time, unless it is excluded for longer.
    pub fn exclude(&mut self, until: Millis) {
        self.excluded_until = self.excluded_until.max(until);
    }

    /// Records the first token of a prompt that was sent with this server as its source.
    pub fn record_fetch(&mut self, is_late: bool, now: Millis) {
        self.late = if is_late { self.late + 1 } else { 0 };
        if self.late >= MAX_LATE {
            self.late = 0;
            self.exclude(now + EXCLUSION_MS);
        }
    }
}
