//! How fast the servers of a pool read prompts, and how long requests hold their slots.

/// Tokens a millisecond before any request was seen.
const FIRST: f64 = 60.0;

/// Slowest and fastest rate that is believed, in tokens a millisecond.
const BOUNDS: (f64, f64) = (6.0, 100.0);

/// Time that a request holds a slot before any was seen, in milliseconds: a stream of some
/// hundred tokens beside others.
const FIRST_HOLD_MS: f64 = 2_000.0;

/// Bounds of such a time that is believed, in milliseconds.
const HOLD_BOUNDS_MS: (f64, f64) = (20.0, 20_000.0);

/// Weight of a new observation for the pool: a router sees some ten requests a second.
const WEIGHT: f64 = 0.03;

/// Weight of a new observation for one server beside the others of its pool.
const FACTOR_WEIGHT: f64 = 0.1;

/// Bounds of a server's rate, as multiples of its pool's.
const FACTOR_BOUNDS: (f64, f64) = (0.3, 2.0);

/// Fewest tokens from which a rate is read; with fewer, the time of the way counts most.
const FEWEST_TOKENS: u32 = 1_500;

/// How fast the servers of a pool read prompts, and how long requests hold their slots, learnt
/// from those that were answered.
///
/// The load that it answers: hundreds of servers, of each of which one router sees a request
/// in ten seconds. Learnt for each server alone, the rate was still taken to be that of an idle
/// server when streams and long prompts had halved it. And servers with few slots, where slots
/// are short before reading is: with one constant, learnt where there were 64 slots, a queue of
/// eight streams before 16 slots was taken to last a third of a second, and lasted twice that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolStats {
    per_ms: f64,
    hold_ms: f64,
}

impl Default for PoolStats {
    fn default() -> Self {
        Self {
            per_ms: FIRST,
            hold_ms: FIRST_HOLD_MS,
        }
    }
}

impl PoolStats {
    /// Tokens that a server reads a millisecond.
    #[must_use]
    pub const fn tokens_per_ms(self) -> f64 {
        self.per_ms
    }

    /// Time that a request holds a slot on average, in milliseconds.
    #[must_use]
    pub const fn mean_hold_ms(self) -> f64 {
        self.hold_ms
    }

    /// Notes that a request held a slot so long, in milliseconds.
    pub fn record_hold(&mut self, ms: f64) {
        let ms = ms.clamp(HOLD_BOUNDS_MS.0, HOLD_BOUNDS_MS.1);
        self.hold_ms += (ms - self.hold_ms) * WEIGHT;
    }

    /// Notes that a server read `tokens` within `ms` milliseconds.
    pub fn record_prefill(&mut self, tokens: u32, ms: f64) {
        if let Some(seen) = seen(tokens, ms) {
            self.per_ms += (seen - self.per_ms) * WEIGHT;
        }
    }
}

/// How fast one server reads beside the others of its pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeSpeed(f64);

impl Default for RelativeSpeed {
    fn default() -> Self {
        Self(1.0)
    }
}

impl RelativeSpeed {
    /// Its rate as a multiple of its pool's.
    #[must_use]
    pub const fn ratio(self) -> f64 {
        self.0
    }

    /// Notes that it read `tokens` within `ms` milliseconds.
    pub fn record_prefill(&mut self, tokens: u32, ms: f64, pace: PoolStats) {
        if let Some(seen) = seen(tokens, ms) {
            let factor = (seen / pace.per_ms).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
            self.0 += (factor - self.0) * FACTOR_WEIGHT;
        }
    }
}

/// The rate that a request shows; `None` if it shows none.
fn seen(tokens: u32, ms: f64) -> Option<f64> {
    let ms = ms - super::FIRST_TOKEN_MS;
    if tokens < FEWEST_TOKENS || ms <= 0.0 {
        return None;
    }
    Some((f64::from(tokens) / ms).clamp(BOUNDS.0, BOUNDS.1))
}
