//! One report of a server.

/// Slowdown of a server that nothing slows, in percent.
const NORMAL_PERCENT: u32 = 100;

/// Lowest and highest accepted slowdown, in percent.
const SLOWDOWN_BOUNDS: (u32, u32) = (50, 1_000);

/// Load that a server reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work currently takes on its machine, in percent of the normal time.
    pub slowdown_percent: u32,
}

/// A report that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidReport;

impl Report {
    /// A report without a slowdown, or with one that is limited to plausible bounds.
    #[must_use]
    pub fn new(running: u32, waiting: u32, slots: u32, slowdown_percent: Option<u32>) -> Self {
        let (lowest, highest) = SLOWDOWN_BOUNDS;
        let slowdown_percent = slowdown_percent.unwrap_or(NORMAL_PERCENT);
        Self {
            running,
            waiting,
            slots,
            slowdown_percent: slowdown_percent.clamp(lowest, highest),
        }
    }
}
