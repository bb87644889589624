//! The fairness gap of a run.

use super::share;

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn real(count: u64) -> f64 {
    count as f64
}

/// Service per share of each customer over time.
pub struct Gap {
    first: Vec<f64>,
    last: Vec<f64>,
    /// All samples.
    all: Vec<Vec<f64>>,
    /// Of each pair, the lowest and highest difference.
    pairs: Vec<(f64, f64)>,
}

impl Gap {
    pub fn open(customers: u32) -> Self {
        let customers = customers as usize;
        Self {
            first: Vec::new(),
            last: Vec::new(),
            all: Vec::new(),
            pairs: vec![(f64::MAX, f64::MIN); customers * customers],
        }
    }

    pub fn sample(&mut self, service: &[u64]) {
        let share = |index: usize| f64::from(share(u32::try_from(index).expect("few")));
        let each = service.iter().enumerate();
        let now: Vec<f64> = each
            .map(|(index, tokens)| real(*tokens) / share(index))
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
        self.all.push(now.clone());
        self.last = now;
    }

    /// The largest difference over any window, in tokens for each unit of share,
    /// and as a part of the mean service in the whole run.
    pub fn largest(&self) -> (f64, f64) {
        let widths = self.pairs.iter().map(|(low, high)| high - low);
        let widest = widths.fold(0.0, f64::max);
        let given = self
            .last
            .iter()
            .zip(&self.first)
            .map(|(last, first)| last - first);
        let mean = given.sum::<f64>() / real(self.last.len() as u64);
        (widest, widest / mean)
    }

    /// The mean over all windows of a number of samples of the largest difference
    /// as a part of the mean service in that window.
    pub fn mean_part(&self, samples: usize) -> f64 {
        let windows = self.all.iter().zip(self.all.iter().skip(samples));
        let parts = windows.map(|(from, to)| {
            let given = to.iter().zip(from).map(|(to, from)| to - from);
            let most = given.clone().fold(f64::MIN, f64::max);
            let least = given.clone().fold(f64::MAX, f64::min);
            (most - least) * real(from.len() as u64) / given.sum::<f64>()
        });
        let parts: Vec<f64> = parts.collect();
        parts.iter().sum::<f64>() / real(parts.len().max(1) as u64)
    }
}
