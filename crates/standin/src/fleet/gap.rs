//! The fairness gap and the utilisation, from samples.

use super::meter::{STEP, Sample};

/// Samples between the starts of two windows: one second.
const GRID: usize = 1000 / STEP.as_millis() as usize;
/// Shortest window of [`Gap::fraction_5s`], in grid steps.
const SHORTEST: usize = 5;

/// The largest difference in service by share between two customers who were
/// both backlogged throughout a window, over all windows on a grid of a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Gap {
    /// In tokens per share.
    pub(crate) tokens: f64,
    /// The same over the service by share of all customers backlogged
    /// throughout that window.
    pub(crate) fraction: f64,
    /// The largest such fraction over windows of at least five seconds.
    pub(crate) fraction_5s: f64,
    /// Length of the window of `tokens`, in seconds.
    pub(crate) seconds: usize,
    /// Least customers backlogged throughout the whole run.
    pub(crate) backlogged: usize,
}

/// Measures the gap.
pub(crate) fn gap(samples: &[Sample], shares: &[u32]) -> Gap {
    let mut gap = Gap::default();
    let marks: Vec<usize> = (0..samples.len()).step_by(GRID).collect();
    let ends = backlog_ends(samples, shares.len());
    for (place, &from) in marks.iter().enumerate() {
        for &to in &marks[place + 1..] {
            let seconds = (to - from) / GRID;
            let backlogged = (0..shares.len()).filter(|&c| ends[from][c] > to);
            let services: Vec<(f64, f64)> = backlogged
                .map(|c| (tokens(samples, c, from, to), f64::from(shares[c])))
                .collect();
            gap.take(&services, seconds);
            if place == 0 {
                gap.backlogged = services.len();
            }
        }
    }
    gap
}

impl Gap {
    /// Takes one window into account.
    fn take(&mut self, services: &[(f64, f64)], seconds: usize) {
        if services.len() < 2 {
            return;
        }
        let portions = services.iter().map(|(tokens, share)| tokens / share);
        let most = portions.clone().fold(f64::MIN, f64::max);
        let least = portions.fold(f64::MAX, f64::min);
        let tokens: f64 = services.iter().map(|(tokens, _)| tokens).sum();
        let shares: f64 = services.iter().map(|(_, share)| share).sum();
        let fraction = (most - least) / (tokens / shares).max(f64::MIN_POSITIVE);
        if most - least > self.tokens {
            self.tokens = most - least;
            self.fraction = fraction;
            self.seconds = seconds;
        }
        if seconds >= SHORTEST {
            self.fraction_5s = self.fraction_5s.max(fraction);
        }
    }
}

/// For every sample and customer, the first sample from there on without backlog.
fn backlog_ends(samples: &[Sample], customers: usize) -> Vec<Vec<usize>> {
    let mut ends = vec![vec![samples.len(); customers]; samples.len() + 1];
    for at in (0..samples.len()).rev() {
        let waiting = samples[at].waiting.iter().zip(&ends[at + 1]);
        let own = waiting.map(|(waiting, end)| if *waiting { *end } else { at });
        ends[at] = own.collect();
    }
    ends
}

#[expect(clippy::cast_precision_loss, reason = "tokens of a run are few")]
fn tokens(samples: &[Sample], customer: usize, from: usize, to: usize) -> f64 {
    (samples[to].service[customer] - samples[from].service[customer]) as f64
}

/// Busy slots over slots while work waits.
pub(crate) fn utilisation(samples: &[Sample]) -> f64 {
    let waiting = samples
        .iter()
        .filter(|sample| sample.waiting.contains(&true));
    let busy: u32 = waiting.clone().map(|sample| sample.busy).sum();
    let slots: u32 = waiting.map(|sample| sample.slots).sum();
    f64::from(busy) / f64::from(slots.max(1))
}
