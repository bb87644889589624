//! A node that works off what it is given at the speed of its part of a processor.

use mulberryyoke_decide::handoff::Trigger;
use mulberryyoke_decide::overload::Overload;
use mulberryyoke_model::Millis;

/// Time of a processor that a request takes, in milliseconds: a stream of forty events.
const SERVE_MS: f64 = 0.5;

/// Time of a processor that it takes to pass it on, in milliseconds.
const PASS_MS: f64 = 0.1;

/// Time between measurements of lateness, in milliseconds.
pub(crate) const STEP_MS: Millis = 50;

/// A node.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) thousandths: u32,
    /// Time of a processor that its work takes which it has not yet done, in milliseconds.
    work_ms: f64,
    pub(crate) overload: Overload,
    pub(crate) behind: Trigger,
    /// Answers to the balancer's last two questions.
    pub(crate) answers: [bool; 2],
}

impl Node {
    pub(crate) fn new(thousandths: u32) -> Self {
        Self {
            thousandths,
            work_ms: 0.0,
            overload: Overload::default(),
            behind: Trigger::default(),
            answers: [true; 2],
        }
    }

    /// How late work is that comes now, in milliseconds.
    pub(crate) fn late_ms(&self) -> f64 {
        self.work_ms * 1_000.0 / f64::from(self.thousandths)
    }

    pub(crate) fn serve(&mut self) -> f64 {
        self.work_ms += SERVE_MS;
        self.late_ms()
    }

    pub(crate) fn pass_on(&mut self) {
        self.work_ms += PASS_MS;
    }

    /// Works until the next measurement, and measures.
    pub(crate) fn step(&mut self, now: Millis) {
        let done = f64::from(self.thousandths) / 1_000.0 * STEP_MS as f64;
        self.work_ms = (self.work_ms - done).max(0.0);
        let late_ms = self.late_ms() as u64;
        self.overload.record_delay(late_ms, now);
        self.behind.record_delay(self.overload.mean_delay_ms(), now);
    }

    /// Answers the balancer's question.
    pub(crate) fn answer(&mut self, now: Millis) {
        self.answers = [self.answers[1], now >= self.overload.until()];
    }

    /// Whether the balancer sends it new connections.
    pub(crate) fn is_in_rotation(&self) -> bool {
        self.answers.contains(&true)
    }
}
