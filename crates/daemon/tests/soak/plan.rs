//! The faults of a run: the same seed gives the same ones.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::proxy::Mode;

/// Time in which faults begin.
pub(crate) const FAULT_WINDOW: Duration = Duration::from_secs(9);

/// Shortest and longest time of a fault that lasts, in milliseconds.
const DURATION_MS: (u64, u64) = (200, 4_500);

/// Fewest and most faults of a run, for each gateway.
const FAULTS_PER_GATEWAY: (usize, usize) = (5, 9);

/// Part of the runs in which the store comes back from a copy.
const RESTORE_PROBABILITY: f64 = 0.5;

/// Part of the runs in which a server says that it leaves or asks for rest, for each.
const NOTICE_PROBABILITY: f64 = 0.6;

/// What goes wrong, or is planned.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A gateway is killed and started again.
    Kill,
    /// A gateway is stopped as planned and started again.
    Stop,
    /// A gateway is frozen for a time.
    Freeze,
    /// A gateway is told to read its settings again.
    Reload,
    /// A gateway's way to the store is harmed.
    Store(Mode),
    /// The store refuses every call of the gateways, while a key is taken away.
    Refuse,
    /// The store forgets its history.
    Compact,
    /// The store comes back from a copy as old as the fault lasts.
    Restore,
    /// The way to a server is harmed.
    Server(Mode),
    /// The ways to all servers of a pool are harmed.
    Pool(Mode),
    /// A server leaves as planned, and another takes its address.
    Replace,
    /// As `Replace`, and the server's answers say so before its registration does.
    Leave,
    /// A server turns everything away and asks for rest.
    Rest,
    /// All servers of a pool do.
    RestPool,
    /// The configuration gains or loses a route.
    Route,
    /// A key is taken away.
    Revoke,
}

impl Fault {
    /// Its name in counts.
    pub(crate) fn word(self) -> String {
        let text = format!("{self:?}").to_lowercase();
        text.replace(|c: char| c.is_ascii_digit(), "")
            .replace("()", "")
    }
}

/// A fault and when it begins and ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
    /// Which gateway or server; taken by remainder.
    pub(crate) target: usize,
}

/// The steps of a seed, in their order.
pub(crate) fn steps(seed: u64, gateways: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = rng.random_range(FAULTS_PER_GATEWAY.0..=FAULTS_PER_GATEWAY.1) * gateways;
    let mut steps: Vec<Step> = (0..count).map(|_| step(&mut rng)).collect();
    // Drawn last, so that the other steps of a seed stay as they were.
    if rng.random_bool(RESTORE_PROBABILITY) {
        steps.push(Step {
            fault: Fault::Restore,
            ..step(&mut rng)
        });
    }
    for fault in [Fault::Leave, Fault::Rest, Fault::RestPool] {
        if rng.random_bool(NOTICE_PROBABILITY) {
            // Over before it is looked whether requests are served again.
            let step = step(&mut rng);
            let at = step.at / 2;
            steps.push(Step { at, fault, ..step });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn step(rng: &mut ChaCha8Rng) -> Step {
    let span_ms = u64::try_from(FAULT_WINDOW.as_millis()).unwrap_or(0);
    let mode = match rng.random_range(0..5) {
        0 => Mode::Delay(rng.random_range(20..300)),
        1 => Mode::Stall,
        2 => Mode::StallResponses,
        3 => Mode::CloseOnResponse,
        _ => Mode::Reset,
    };
    let fault = match rng.random_range(0..15) {
        0 => Fault::Kill,
        1 | 2 => Fault::Stop,
        3 => Fault::Freeze,
        4 => Fault::Reload,
        5 | 6 => Fault::Store(mode),
        7 => Fault::Refuse,
        8 => Fault::Compact,
        9 | 10 => Fault::Server(mode),
        11 => Fault::Replace,
        12 => Fault::Route,
        13 => Fault::Pool(mode),
        _ => Fault::Revoke,
    };
    Step {
        at: Duration::from_millis(rng.random_range(0..span_ms)),
        duration: Duration::from_millis(rng.random_range(DURATION_MS.0..DURATION_MS.1)),
        fault,
        target: rng.random_range(0..64),
    }
}
