//! A dated figure about a server.

use mulberryyoke_model::Millis;

/// Difference from the usual from which a figure is told to peers.
const MIN_DIFFERENCE: f64 = 0.15;

/// A figure and the time from which it dates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// The figure.
    pub value: f64,
    /// When it was observed.
    pub at: Millis,
}

impl Reading {
    /// Whether it differs from the usual by enough to tell peers.
    pub(super) fn differs(self) -> bool {
        (self.value - 1.0).abs() >= MIN_DIFFERENCE
    }
}
