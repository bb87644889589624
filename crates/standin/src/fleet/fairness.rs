//! Fairness gap and utilisation, computed from samples.

use super::sampling::{SAMPLE_INTERVAL, Sample};

/// Samples per second. Windows begin and end at full seconds.
const SAMPLES_PER_SECOND: usize = 1000 / SAMPLE_INTERVAL.as_millis() as usize;
/// Minimum window of [`FairnessGap::fraction_5s`], in seconds.
const MIN_WINDOW_SECONDS: usize = 5;
/// Minimum fraction of samples, as numerator and denominator, in which a customer is backlogged to
/// count in [`FairnessGap::backlogged`].
const MIN_BACKLOGGED_SAMPLES: (usize, usize) = (9, 10);

/// Largest difference in service per share between two customers that are both backlogged
/// throughout a window, over all windows of whole seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct FairnessGap {
    /// Gap in tokens per share.
    pub tokens: f64,
    /// `tokens` relative to the mean service per share of the customers backlogged throughout that
    /// window.
    pub fraction: f64,
    /// Largest `fraction` over windows of at least five seconds.
    pub fraction_5s: f64,
    /// Length of the window of `tokens`, in seconds.
    pub seconds: usize,
    /// Number of customers backlogged in more than 90 % of the samples.
    pub backlogged: usize,
}

/// Computes the fairness gap of customers with these shares from evenly spaced samples.
#[must_use]
pub fn fairness_gap(samples: &[Sample], shares: &[u32]) -> FairnessGap {
    let is_backlogged = |customer: &usize| is_mostly_backlogged(samples, *customer);
    let mut gap = FairnessGap {
        backlogged: (0..shares.len()).filter(is_backlogged).count(),
        ..FairnessGap::default()
    };
    let boundaries: Vec<usize> = (0..samples.len()).step_by(SAMPLES_PER_SECOND).collect();
    let ends = backlog_ends(samples, shares.len());
    for (index, &from) in boundaries.iter().enumerate() {
        for &to in &boundaries[index + 1..] {
            let backlogged = (0..shares.len()).filter(|&c| ends[from][c] > to);
            let services: Vec<(f64, f64)> = backlogged
                .map(|c| (tokens(samples, c, from, to), f64::from(shares[c])))
                .collect();
            gap.add_window(&services, (to - from) / SAMPLES_PER_SECOND);
        }
    }
    gap
}

/// Seconds from the end of a fault until the gap over [`MIN_WINDOW_SECONDS`] is no larger than
/// before the fault. `begin` and `end` of the fault are in seconds since the start of the load.
pub(crate) fn recovery_seconds(
    samples: &[Sample],
    shares: &[u32],
    begin: usize,
    end: usize,
) -> Option<usize> {
    let gap_from = |second: usize| {
        let from = second * SAMPLES_PER_SECOND;
        let window = samples.get(from..=from + MIN_WINDOW_SECONDS * SAMPLES_PER_SECOND)?;
        Some(fairness_gap(window, shares).fraction_5s)
    };
    let before = (0..begin.saturating_sub(MIN_WINDOW_SECONDS)).filter_map(gap_from);
    let baseline = before.fold(0.0, f64::max);
    (end..)
        .map_while(|second| Some((second, gap_from(second)?)))
        .find(|(_, gap)| *gap <= baseline)
        .map(|(second, _)| second - end)
}

impl FairnessGap {
    /// Updates the maxima with the tokens and shares of one window.
    fn add_window(&mut self, services: &[(f64, f64)], seconds: usize) {
        if services.len() < 2 {
            return;
        }
        let per_share = services.iter().map(|(tokens, share)| tokens / share);
        let max = per_share.clone().fold(f64::MIN, f64::max);
        let min = per_share.fold(f64::MAX, f64::min);
        let tokens: f64 = services.iter().map(|(tokens, _)| tokens).sum();
        let shares: f64 = services.iter().map(|(_, share)| share).sum();
        let fraction = (max - min) / (tokens / shares).max(f64::MIN_POSITIVE);
        if max - min > self.tokens {
            self.tokens = max - min;
            self.fraction = fraction;
            self.seconds = seconds;
        }
        if seconds >= MIN_WINDOW_SECONDS {
            self.fraction_5s = self.fraction_5s.max(fraction);
        }
    }
}

/// Returns, for each sample and customer, the index of the first sample from there on in which the
/// customer is not backlogged.
fn backlog_ends(samples: &[Sample], customers: usize) -> Vec<Vec<usize>> {
    let mut ends = vec![vec![samples.len(); customers]; samples.len() + 1];
    for at in (0..samples.len()).rev() {
        let waiting = samples[at].waiting.iter().zip(&ends[at + 1]);
        let row = waiting.map(|(waiting, end)| if *waiting { *end } else { at });
        ends[at] = row.collect();
    }
    ends
}

fn is_mostly_backlogged(samples: &[Sample], customer: usize) -> bool {
    let waiting = samples.iter().filter(|sample| sample.waiting[customer]);
    waiting.count() * MIN_BACKLOGGED_SAMPLES.1 > samples.len() * MIN_BACKLOGGED_SAMPLES.0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts of a run are small"
)]
fn tokens(samples: &[Sample], customer: usize, from: usize, to: usize) -> f64 {
    (samples[to].service[customer] - samples[from].service[customer]) as f64
}

/// Fraction of slots that are busy, over the samples in which requests are waiting.
#[must_use]
pub fn utilisation(samples: &[Sample]) -> f64 {
    let waiting = samples
        .iter()
        .filter(|sample| sample.waiting.contains(&true));
    let busy: u32 = waiting.clone().map(|sample| sample.busy).sum();
    let slots: u32 = waiting.map(|sample| sample.slots).sum();
    f64::from(busy) / f64::from(slots.max(1))
}
