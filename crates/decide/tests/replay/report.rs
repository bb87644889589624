//! Outcomes of the requests of a simulation.

use std::fmt::Write as _;

use crate::workload::{CUSTOMERS, KINDS};

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    pub(crate) total: u32,
    pub(crate) on_time: u32,
    /// On time in a later attempt.
    pub(crate) on_time_after_retry: u32,
    pub(crate) late: u32,
    /// Rejected in the first attempt.
    pub(crate) refused: u32,
    /// Rejected in the last attempt.
    pub(crate) rejected: u32,
    /// Tokens of all prompts and of those sent to servers.
    pub(crate) tokens: (u64, u64),
}

impl Tally {
    /// Fraction of the requests that were on time in any attempt.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.on_time + self.on_time_after_retry) / f64::from(self.total.max(1))
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.on_time += other.on_time;
        self.on_time_after_retry += other.on_time_after_retry;
        self.late += other.late;
        self.refused += other.refused;
        self.rejected += other.rejected;
        self.tokens.0 += other.tokens.0;
        self.tokens.1 += other.tokens.1;
    }
}

/// Outcomes of the requests of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Report {
    tallies: Vec<[Tally; KINDS.len()]>,
    /// Tokens recomputed though another server had them cached.
    pub(crate) recomputed: u64,
    /// Number of requests sent to servers, and the sum of their times to first token.
    pub(crate) sent: u32,
    /// Number of these that exceeded their server's memory.
    pub(crate) overfull: u32,
    pub(crate) first_token_ms: f64,
    /// Tokens prefilled.
    pub(crate) prefilled: u64,
    /// Tokens of these that the gateway expected to be cached.
    pub(crate) unexpected: u64,
    /// Tokens that were cached, but that the gateway expected to be prefilled.
    pub(crate) missed: u64,
    /// Requests sent after they had waited in a gateway.
    pub(crate) sent_after_wait: u32,
    /// Longest wait in a gateway, as a fraction of the objective.
    pub(crate) longest_wait: f64,
    /// Fraction of the time that servers spent on prefill.
    pub(crate) utilisation: f64,
}

impl Report {
    pub(crate) fn new() -> Self {
        Self {
            tallies: vec![Default::default(); CUSTOMERS as usize],
            ..Self::default()
        }
    }

    pub(crate) fn tally(&mut self, customer: u32, kind: usize) -> &mut Tally {
        &mut self.tallies[customer as usize][kind]
    }

    /// Sum over these customers and kinds.
    pub(crate) fn sum(&self, customers: impl Iterator<Item = u32>, kinds: &[usize]) -> Tally {
        let mut sum = Tally::default();
        for customer in customers {
            for &kind in kinds {
                sum.add(&self.tallies[customer as usize][kind]);
            }
        }
        sum
    }

    /// Largest difference between customers in the fraction of their tokens sent to servers.
    pub(crate) fn gap(&self, customers: impl Iterator<Item = u32>) -> f64 {
        let fractions = customers.map(|customer| {
            let Tally {
                tokens: (total, sent),
                ..
            } = self.sum(customer..=customer, &[0, 1, 2]);
            #[expect(clippy::cast_precision_loss, reason = "millions of tokens")]
            let fraction = sent as f64 / total.max(1) as f64;
            fraction
        });
        let (min, max) = fractions.fold((1.0_f64, 0.0_f64), |(min, max), fraction| {
            (min.min(fraction), max.max(fraction))
        });
        max - min
    }

    /// One line per kind and one for all.
    pub(crate) fn lines(&self) -> String {
        let mut lines = String::new();
        for (kind, name) in KINDS.iter().map(|kind| kind.name).enumerate() {
            let all = self.sum(0..CUSTOMERS, &[kind]);
            let small = self.sum(1..CUSTOMERS, &[kind]);
            let _ = writeln!(
                lines,
                "{name}: {} requests, {:.3} on time ({:.3} without customer 0), {} of them after a retry, {} late, {} rejected",
                all.total,
                all.served(),
                small.served(),
                all.on_time_after_retry,
                all.late,
                all.rejected
            );
        }
        let _ = writeln!(
            lines,
            "prefilled {}, unexpected {}, missed {}, recomputed {}, utilisation {:.2}, gap {:.3}",
            self.prefilled,
            self.unexpected,
            self.missed,
            self.recomputed,
            self.utilisation,
            self.gap(1..CUSTOMERS)
        );
        lines
    }
}
