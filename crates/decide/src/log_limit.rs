//! Limit on log lines that others can cause in any number.

use mulberryyoke_model::Millis;

/// Maximum number of lines in an interval.
pub const MAX_LINES: u32 = 20;

/// Length of an interval, in milliseconds.
pub const INTERVAL_MS: Millis = 10_000;

/// Limits the lines of one kind in a log, and counts those that are left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimit {
    interval_ends: Millis,
    lines: u32,
    omitted: u64,
}

impl LogLimit {
    /// Returns the number of lines left out since the last one, if another may be written now.
    pub const fn try_line(&mut self, now: Millis) -> Option<u64> {
        if now >= self.interval_ends {
            self.interval_ends = now + INTERVAL_MS;
            self.lines = 0;
        }
        if self.lines == MAX_LINES {
            self.omitted += 1;
            return None;
        }
        self.lines += 1;
        let omitted = self.omitted;
        self.omitted = 0;
        Some(omitted)
    }
}
