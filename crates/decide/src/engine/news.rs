//! What peers are told of a server's speed.

use super::Reading;

/// What peers are told of a server's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// Learned ratio of expected to observed time.
    pub learned: Option<Reading>,
    /// Reported slowdown, as a factor.
    pub slowdown: Option<Reading>,
}

impl News {
    /// Difference from the usual, as the logarithm of the larger factor.
    #[must_use]
    pub fn difference(&self) -> f64 {
        let readings = [self.learned, self.slowdown].into_iter().flatten();
        let differences = readings.map(|reading| reading.value.ln().abs());
        differences.fold(0.0, f64::max)
    }
}
