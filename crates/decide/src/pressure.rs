//! Memory pressure of a process: how near it is to the limit at which it is killed.

use std::collections::VecDeque;

use mulberryyoke_model::Millis;

/// Fraction of the memory, in sixteenths, above which it is short.
const SHORT_SIXTEENTHS: u64 = 14;

/// Fraction of the memory, in sixteenths, up to which growth alone is no reason to refuse requests.
const ROOM_SIXTEENTHS: u64 = 12;

/// Time over which growth is measured and extrapolated, in milliseconds.
const HORIZON_MS: Millis = 2_000;

/// How near the process is to its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pressure {
    /// There is room.
    #[default]
    Normal,
    /// Memory is short: what can be fetched again is given up.
    Short,
    /// Memory grows so fast that the limit is reached soon: new requests are refused,
    /// so that those in progress are not lost.
    Critical,
}

/// Determines the pressure from readings of the resident memory.
#[derive(Clone, Debug, Default)]
pub struct Gauge {
    /// Readings of the last [`HORIZON_MS`], oldest first.
    readings: VecDeque<(Millis, u64)>,
}

impl Gauge {
    /// Records a reading, in bytes, and returns the pressure at a limit.
    pub fn record(&mut self, bytes: u64, limit: u64, now: Millis) -> Pressure {
        while self
            .readings
            .front()
            .is_some_and(|(at, _)| at + HORIZON_MS < now)
        {
            self.readings.pop_front();
        }
        self.readings.push_back((now, bytes));
        let lowest = self.readings.iter().map(|(_, bytes)| *bytes).min();
        let growth = bytes - lowest.unwrap_or(bytes);
        // Memory that is high and level is what the allocator keeps for the next requests.
        if bytes > limit / 16 * ROOM_SIXTEENTHS && bytes + growth > limit {
            return Pressure::Critical;
        }
        if bytes <= limit / 16 * SHORT_SIXTEENTHS {
            return Pressure::Normal;
        }
        Pressure::Short
    }
}

impl Pressure {
    /// Name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Short => "short",
            Self::Critical => "critical",
        }
    }
}
