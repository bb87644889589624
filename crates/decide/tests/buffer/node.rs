//! A simulated node that relays one response to each caller.

use mulberryyoke_decide::buffer::{AccountKey, Budget};
use mulberryyoke_model::CustomerId;

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// Bytes that a server sends in a step, and length of a response: 4,000 events in eight seconds.
const STEP_BYTES: u64 = 1_000;
const RESPONSE_BYTES: u64 = 800_000;

/// Bytes that a slow and a steady caller take each 200 ms.
const SLOW_BYTES: u64 = 2_000;
const STEADY_BYTES: u64 = 10_000;

const TAKE_INTERVAL_MS: u64 = 200;

/// Length of the simulation, in milliseconds.
const RUN_MS: u64 = 100_000;

/// How fast a caller reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// All that there is, in every step.
    Prompt,
    /// Half as fast as the server.
    Steady,
    /// A tenth as fast as the server.
    Slow,
    /// Not at all.
    Stalled,
}

/// A caller and its response.
#[derive(Debug)]
pub(crate) struct Caller {
    customer: CustomerId,
    pace: Pace,
    account: AccountKey,
    sent: u64,
    taken: u64,
    is_cut: bool,
}

impl Caller {
    pub(crate) fn new(customer: u32, pace: Pace) -> Self {
        Self {
            customer: CustomerId::of(&format!("customer {customer}")),
            pace,
            account: AccountKey::default(),
            sent: 0,
            taken: 0,
            is_cut: false,
        }
    }

    fn takes(&self, now: u64) -> u64 {
        let unread = self.sent - self.taken;
        let is_due = now.is_multiple_of(TAKE_INTERVAL_MS);
        match self.pace {
            Pace::Prompt => unread,
            Pace::Steady if is_due => unread.min(STEADY_BYTES),
            Pace::Slow if is_due => unread.min(SLOW_BYTES),
            Pace::Steady | Pace::Slow | Pace::Stalled => 0,
        }
    }
}

/// What happened in a simulation.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Maximum number of bytes held at the end of a step.
    pub(crate) peak: u64,
    /// Total time for which servers were not read.
    pub(crate) paused_ms: u64,
    pub(crate) cut_below_share: usize,
    cut: Vec<Pace>,
    whole: Vec<Pace>,
}

impl Report {
    pub(crate) fn cut(&self, pace: Pace) -> usize {
        self.cut.iter().filter(|cut| **cut == pace).count()
    }

    pub(crate) fn whole(&self, pace: Pace) -> usize {
        self.whole.iter().filter(|whole| **whole == pace).count()
    }
}

/// A node with a budget and its callers.
#[derive(Debug)]
pub(crate) struct Node {
    budget: Budget,
    callers: Vec<Caller>,
}

impl Node {
    pub(crate) fn new(memory_mb: u64, callers: impl Iterator<Item = Caller>) -> Self {
        let mut budget = Budget::new(memory_mb);
        let callers = callers.map(|caller| {
            let account = budget.open(Some(caller.customer));
            budget.offer(account, 0);
            Caller { account, ..caller }
        });
        Self {
            callers: callers.collect(),
            budget,
        }
    }

    pub(crate) fn run(&mut self) -> Report {
        let mut report = Report::default();
        for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).expect("a step")) {
            for index in 0..self.callers.len() {
                self.step(index, now, &mut report);
            }
            let cuts = self.budget.cut_stalled(now);
            self.cut(&cuts, &mut report);
            report.peak = report.peak.max(self.budget.responses());
        }
        let whole = self.callers.iter();
        let whole = whole.filter(|caller| caller.taken == RESPONSE_BYTES);
        report.whole = whole.map(|caller| caller.pace).collect();
        report
    }

    fn step(&mut self, index: usize, now: u64, report: &mut Report) {
        let caller = &mut self.callers[index];
        if caller.is_cut {
            return;
        }
        let takes = caller.takes(now);
        caller.taken += takes;
        self.budget.take(caller.account, takes, now);
        if caller.sent == RESPONSE_BYTES {
            return;
        }
        if !self.budget.may_read(caller.account) {
            report.paused_ms += STEP_MS;
            return;
        }
        caller.sent += STEP_BYTES;
        let cuts = self.budget.hold(caller.account, STEP_BYTES, now);
        self.cut(&cuts, report);
    }

    fn cut(&mut self, cuts: &[mulberryyoke_decide::buffer::Cut], report: &mut Report) {
        for cut in cuts {
            report.cut_below_share += usize::from(cut.held < cut.share);
            let mut callers = self.callers.iter_mut();
            let caller = callers.find(|caller| caller.account == cut.account);
            let caller = caller.expect("the account is a caller's");
            caller.is_cut = true;
            report.cut.push(caller.pace);
        }
    }
}
