//! Fairness gap of a simulation.

use super::share;

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Service per unit of share of each customer over time.
pub struct Gap {
    first: Vec<f64>,
    last: Vec<f64>,
    samples: Vec<Vec<f64>>,
    /// Lowest and highest difference of each pair of customers.
    pairs: Vec<(f64, f64)>,
}

impl Gap {
    pub fn new(customers: u32) -> Self {
        let customers = customers as usize;
        Self {
            first: Vec::new(),
            last: Vec::new(),
            samples: Vec::new(),
            pairs: vec![(f64::MAX, f64::MIN); customers * customers],
        }
    }

    pub fn sample(&mut self, service: &[u64]) {
        let share = |index: usize| f64::from(share(u32::try_from(index).expect("few")));
        let each = service.iter().enumerate();
        let now: Vec<f64> = each
            .map(|(index, tokens)| to_f64(*tokens) / share(index))
            .collect();
        for (a, one) in now.iter().enumerate() {
            for (b, other) in now.iter().enumerate() {
                let pair = &mut self.pairs[a * now.len() + b];
                *pair = (pair.0.min(one - other), pair.1.max(one - other));
            }
        }
        if self.first.is_empty() {
            self.first = now.clone();
        }
        self.samples.push(now.clone());
        self.last = now;
    }

    /// Largest gap between two customers over any window, in tokens per unit of
    /// share, and relative to the mean service in the whole run.
    pub fn largest(&self) -> (f64, f64) {
        let gaps = self.pairs.iter().map(|(low, high)| high - low);
        let largest = gaps.fold(0.0, f64::max);
        let served = self
            .last
            .iter()
            .zip(&self.first)
            .map(|(last, first)| last - first);
        let mean = served.sum::<f64>() / to_f64(self.last.len() as u64);
        (largest, largest / mean)
    }

    /// Mean over all windows of `window` samples of the largest gap relative to the
    /// mean service in the window.
    pub fn mean_relative_gap(&self, window: usize) -> f64 {
        let windows = self.samples.iter().zip(self.samples.iter().skip(window));
        let gaps = windows.map(|(from, to)| {
            let served = to.iter().zip(from).map(|(to, from)| to - from);
            let max = served.clone().fold(f64::MIN, f64::max);
            let min = served.clone().fold(f64::MAX, f64::min);
            (max - min) * to_f64(from.len() as u64) / served.sum::<f64>()
        });
        let gaps: Vec<f64> = gaps.collect();
        gaps.iter().sum::<f64>() / to_f64(gaps.len().max(1) as u64)
    }
}
