//! What became of the requests.

use std::fmt::Write as _;

use crate::load::{CUSTOMERS, KINDS};

/// Requests by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    /// On time from the second attempt.
    pub(crate) after_refusal: u32,
    pub(crate) late: u32,
    /// Refused once and then again.
    pub(crate) refused: u32,
    /// Tokens of the prompts asked, and of those that were sent.
    pub(crate) tokens: (u64, u64),
}

impl Tally {
    /// Part of the requests that were answered on time at the first or second attempt.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.on_time + self.after_refusal) / f64::from(self.asked.max(1))
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.on_time += other.on_time;
        self.after_refusal += other.after_refusal;
        self.late += other.late;
        self.refused += other.refused;
        self.tokens.0 += other.tokens.0;
        self.tokens.1 += other.tokens.1;
    }
}

/// What became of the requests of a load.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Report {
    by: Vec<[Tally; KINDS.len()]>,
    /// Tokens read though another server kept them.
    pub(crate) again: u64,
    /// Part of the time in which servers read prompts.
    pub(crate) utilisation: f64,
}

impl Report {
    pub(crate) fn new() -> Self {
        Self {
            by: vec![Default::default(); CUSTOMERS as usize],
            ..Self::default()
        }
    }

    pub(crate) fn of(&mut self, customer: u32, kind: usize) -> &mut Tally {
        &mut self.by[customer as usize][kind]
    }

    /// Those of these customers and kinds.
    pub(crate) fn sum(&self, customers: impl Iterator<Item = u32>, kinds: &[usize]) -> Tally {
        let mut sum = Tally::default();
        for customer in customers {
            for &kind in kinds {
                sum.add(&self.by[customer as usize][kind]);
            }
        }
        sum
    }

    /// Largest difference between customers in the part of their tokens that was sent,
    /// among those that ask less than an even portion.
    pub(crate) fn gap(&self, customers: impl Iterator<Item = u32>) -> f64 {
        let parts = customers.map(|customer| {
            let Tally {
                tokens: (asked, sent),
                ..
            } = self.sum(customer..=customer, &[0, 1, 2]);
            #[expect(clippy::cast_precision_loss, reason = "some million tokens")]
            let part = sent as f64 / asked.max(1) as f64;
            part
        });
        let (least, most) = parts.fold((1.0_f64, 0.0_f64), |(least, most), part| {
            (least.min(part), most.max(part))
        });
        most - least
    }

    /// A line for each kind, and one for the whole.
    pub(crate) fn lines(&self) -> String {
        let mut lines = String::new();
        for (kind, name) in KINDS.iter().map(|kind| kind.name).enumerate() {
            let all = self.sum(0..CUSTOMERS, &[kind]);
            let small = self.sum(1..CUSTOMERS, &[kind]);
            let _ = writeln!(
                lines,
                "{name}: {} asked, {:.3} served ({:.3} but for customer 0), {} after a refusal, {} late, {} refused again",
                all.asked,
                all.served(),
                small.served(),
                all.after_refusal,
                all.late,
                all.refused
            );
        }
        let _ = writeln!(
            lines,
            "read again {}, utilisation {:.2}, gap {:.3}",
            self.again,
            self.utilisation,
            self.gap(1..CUSTOMERS)
        );
        lines
    }
}
