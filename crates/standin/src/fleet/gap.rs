//! The fairness gap and the utilisation, from samples.

use super::meter::{STEP, Sample};

/// Samples between the starts of two windows: one second.
const GRID: usize = 1000 / STEP.as_millis() as usize;
/// Shortest window of [`FairnessGap::fraction_5s`], in grid steps.
const SHORTEST: usize = 5;
/// Part of the samples in which a customer counted by [`FairnessGap::backlogged`] waits.
const STEADY: (usize, usize) = (9, 10);

/// The largest difference in service by share between two customers who were
/// both backlogged throughout a window, over all windows on a grid of a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct FairnessGap {
    /// In tokens per share.
    pub tokens: f64,
    /// The same over the service by share of all customers backlogged
    /// throughout that window.
    pub fraction: f64,
    /// The largest such fraction over windows of at least five seconds.
    pub fraction_5s: f64,
    /// Length of the window of `tokens`, in seconds.
    pub seconds: usize,
    /// Customers backlogged in nearly every sample.
    pub backlogged: usize,
}

/// Measures the gap of customers with `shares` over evenly spaced samples.
#[must_use]
pub fn fairness_gap(samples: &[Sample], shares: &[u32]) -> FairnessGap {
    let steady = |customer: &usize| is_steady(samples, *customer);
    let mut gap = FairnessGap {
        backlogged: (0..shares.len()).filter(steady).count(),
        ..FairnessGap::default()
    };
    let marks: Vec<usize> = (0..samples.len()).step_by(GRID).collect();
    let ends = backlog_ends(samples, shares.len());
    for (place, &from) in marks.iter().enumerate() {
        for &to in &marks[place + 1..] {
            let backlogged = (0..shares.len()).filter(|&c| ends[from][c] > to);
            let services: Vec<(f64, f64)> = backlogged
                .map(|c| (tokens(samples, c, from, to), f64::from(shares[c])))
                .collect();
            gap.take(&services, (to - from) / GRID);
        }
    }
    gap
}

/// Seconds from the end of a fault until the gap over [`SHORTEST`] seconds is
/// again no larger than before the fault; both instants in seconds of the run.
pub(crate) fn recovery(
    samples: &[Sample],
    shares: &[u32],
    begin: usize,
    end: usize,
) -> Option<usize> {
    let over = |second: usize| {
        let from = second * GRID;
        let window = samples.get(from..=from + SHORTEST * GRID)?;
        Some(fairness_gap(window, shares).fraction_5s)
    };
    let before = (0..begin.saturating_sub(SHORTEST)).filter_map(over);
    let usual = before.fold(0.0, f64::max);
    (end..)
        .map_while(|second| Some((second, over(second)?)))
        .find(|(_, gap)| *gap <= usual)
        .map(|(second, _)| second - end)
}

impl FairnessGap {
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

fn is_steady(samples: &[Sample], customer: usize) -> bool {
    let waiting = samples.iter().filter(|sample| sample.waiting[customer]);
    waiting.count() * STEADY.1 > samples.len() * STEADY.0
}

#[expect(clippy::cast_precision_loss, reason = "tokens of a run are few")]
fn tokens(samples: &[Sample], customer: usize, from: usize, to: usize) -> f64 {
    (samples[to].service[customer] - samples[from].service[customer]) as f64
}

/// Busy slots over slots while work waits.
#[must_use]
pub fn utilisation(samples: &[Sample]) -> f64 {
    let waiting = samples
        .iter()
        .filter(|sample| sample.waiting.contains(&true));
    let busy: u32 = waiting.clone().map(|sample| sample.busy).sum();
    let slots: u32 = waiting.map(|sample| sample.slots).sum();
    f64::from(busy) / f64::from(slots.max(1))
}
