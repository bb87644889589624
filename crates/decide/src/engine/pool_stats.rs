//! Observed prefill speed and request duration of the servers in a pool.

/// Initial prefill rate, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 60.0;

/// Lowest and highest accepted prefill rate, in tokens per millisecond.
const TOKENS_PER_MS_BOUNDS: (f64, f64) = (6.0, 100.0);

/// Initial slot hold time: a stream of a few hundred tokens on a loaded server.
const INITIAL_HOLD_MS: f64 = 2_000.0;

/// Shortest and longest accepted slot hold time.
const HOLD_BOUNDS_MS: (f64, f64) = (20.0, 20_000.0);

/// Smoothing factor of the pool averages, for about ten observed requests per second.
const POOL_SMOOTHING: f64 = 0.03;

/// Smoothing factor of a server's relative speed.
const SPEED_SMOOTHING: f64 = 0.1;

/// Lowest and highest relative speed of a server.
const SPEED_BOUNDS: (f64, f64) = (0.3, 2.0);

/// Smallest prefill that yields a rate sample; shorter ones are dominated by network latency.
const MIN_SAMPLE_TOKENS: u32 = 1_500;

/// Moving averages of prefill rate and slot hold time over observed requests.
///
/// Kept per pool because a single gateway sees too few requests of each server to follow changes
/// in load. The hold time is learnt because it decides the waiting time where slots run out
/// before prefill capacity does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolStats {
    tokens_per_ms: f64,
    mean_hold_ms: f64,
}

impl Default for PoolStats {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            mean_hold_ms: INITIAL_HOLD_MS,
        }
    }
}

impl PoolStats {
    /// Prefill rate, in tokens per millisecond.
    #[must_use]
    pub const fn tokens_per_ms(self) -> f64 {
        self.tokens_per_ms
    }

    /// Mean time that a request holds a slot, in milliseconds.
    #[must_use]
    pub const fn mean_hold_ms(self) -> f64 {
        self.mean_hold_ms
    }

    /// Records how long a request held its slot, in milliseconds.
    pub fn record_hold(&mut self, ms: f64) {
        let ms = ms.clamp(HOLD_BOUNDS_MS.0, HOLD_BOUNDS_MS.1);
        self.mean_hold_ms += (ms - self.mean_hold_ms) * POOL_SMOOTHING;
    }

    /// Records that a server took `ms` to the first token after prefilling `tokens`.
    pub fn record_prefill(&mut self, tokens: u32, ms: f64) {
        if let Some(rate) = sample_rate(tokens, ms) {
            self.tokens_per_ms += (rate - self.tokens_per_ms) * POOL_SMOOTHING;
        }
    }
}

/// Prefill speed of one server relative to its pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeSpeed(f64);

impl Default for RelativeSpeed {
    fn default() -> Self {
        Self(1.0)
    }
}

impl RelativeSpeed {
    /// Its prefill rate as a multiple of the pool average.
    #[must_use]
    pub const fn ratio(self) -> f64 {
        self.0
    }

    /// Records that the server took `ms` to the first token after prefilling `tokens`.
    pub fn record_prefill(&mut self, tokens: u32, ms: f64, pool: PoolStats) {
        if let Some(rate) = sample_rate(tokens, ms) {
            let ratio = (rate / pool.tokens_per_ms).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
            self.0 += (ratio - self.0) * SPEED_SMOOTHING;
        }
    }
}

/// Prefill rate observed in a request, in tokens per millisecond; `None` if it is too short.
fn sample_rate(tokens: u32, ms: f64) -> Option<f64> {
    let ms = ms - super::FIRST_TOKEN_OVERHEAD_MS;
    if tokens < MIN_SAMPLE_TOKENS || ms <= 0.0 {
        return None;
    }
    Some((f64::from(tokens) / ms).clamp(TOKENS_PER_MS_BOUNDS.0, TOKENS_PER_MS_BOUNDS.1))
}
