//! Faults of a run, determined by its seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::proxy::Mode;
use crate::subject::Subject;

/// Period in which faults begin.
pub(crate) const FAULT_WINDOW: Duration = Duration::from_secs(9);

/// Minimum and maximum duration of a fault, in milliseconds.
const DURATION_MS: (u64, u64) = (200, 4_500);

/// Minimum and maximum number of faults per gateway.
const FAULTS_PER_GATEWAY: (usize, usize) = (5, 9);

/// Maximum number of faults of a run in which servers crash.
const FAULTS_BESIDE_CRASHES: usize = 4;

/// Maximum number of drawn faults of a run with a large configuration, and number of its storms.
const FAULTS_BESIDE_STORMS: usize = 5;
const STORMS: usize = 6;

/// Maximum number of drawn faults of a run with servers as processes, and number of the signals that
/// these get.
const FAULTS_BESIDE_SIGNALS: usize = 14;
const SIGNALS: usize = 18;

/// Probability that a run restores the store from a backup.
const RESTORE_PROBABILITY: f64 = 0.5;

/// Probability of each kind of server notice: a leaving announcement, and pushback of a server
/// or a pool.
const NOTICE_PROBABILITY: f64 = 0.6;

/// A fault or a planned operation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// Kills and restarts a gateway.
    Kill,
    /// Shuts a gateway down gracefully and restarts it.
    Stop,
    /// Suspends the process of a gateway.
    Suspend,
    /// Makes a gateway reload its settings.
    Reload,
    /// Impairs the connection of a gateway to the store.
    StoreConnection(Mode),
    /// Makes the store reject all requests, and rotates keys meanwhile.
    StoreUnavailable,
    /// Compacts the history of the store.
    CompactStore,
    /// Restores the store from a backup that is as old as the duration of the fault.
    RestoreStore,
    /// Impairs the connections to a server.
    ServerConnection(Mode),
    /// Impairs the connections to all servers of a pool.
    PoolConnections(Mode),
    /// Drains a server and replaces it by another one at the same address.
    ReplaceServer,
    /// As [`Fault::ReplaceServer`], but the server's responses announce it before its registration.
    AnnounceLeaving,
    /// Makes a server reject all requests with pushback.
    Pushback,
    /// Makes all servers of a pool reject all requests with pushback.
    PoolPushback,
    /// Adds or removes a route of the configuration.
    ToggleRoute,
    /// Replaces the oldest key of the configuration.
    RotateKeys,
    /// Writes the configuration many times in quick succession.
    ConfigurationStorm,
    /// Cuts all gateways but one off the store while it is unavailable; it is back long before they
    /// are.
    LosePeers,
    /// Suspends the process of a server.
    SuspendServer,
    /// Ends the process of a server by a signal, and starts another one at the same address.
    EndServer(Signal),
    /// Cuts the connections to the store and removes a server that does not announce it.
    CutBeforeRemoval,
}

impl Fault {
    /// Whether it affects servers.
    const fn is_of_servers(self) -> bool {
        matches!(
            self,
            Self::ServerConnection(_)
                | Self::PoolConnections(_)
                | Self::ReplaceServer
                | Self::AnnounceLeaving
                | Self::Pushback
                | Self::PoolPushback
                | Self::CutBeforeRemoval
        )
    }

    /// Name without numbers, for the summary.
    pub(crate) fn name(self) -> String {
        let text = format!("{self:?}").to_lowercase();
        text.replace(|c: char| c.is_ascii_digit(), "")
            .replace("()", "")
    }
}

/// A fault with its time and target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
    /// Gateway or server, modulo their number.
    pub(crate) target: usize,
}

/// Returns the steps of a seed in chronological order.
pub(crate) fn steps(seed: u64, gateways: usize, subject: Subject) -> Vec<Step> {
    if !subject.has_drawn_faults() {
        return Vec::new();
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = rng.random_range(FAULTS_PER_GATEWAY.0..=FAULTS_PER_GATEWAY.1) * gateways;
    let mut steps: Vec<Step> = (0..count).map(|_| draw_step(&mut rng)).collect();
    // Drawn last, so that the draws of the steps above don't depend on it.
    if rng.random_bool(RESTORE_PROBABILITY) {
        steps.push(Step {
            fault: Fault::RestoreStore,
            ..draw_step(&mut rng)
        });
    }
    for fault in [Fault::AnnounceLeaving, Fault::Pushback, Fault::PoolPushback] {
        if rng.random_bool(NOTICE_PROBABILITY) {
            // Begins early, to end before the recovery is measured.
            let step = draw_step(&mut rng);
            let at = step.at / 2;
            steps.push(Step { at, fault, ..step });
        }
    }
    if subject == Subject::Part {
        steps.retain(|step| !step.fault.is_of_servers());
        // With more, no gateway is in touch for long.
        steps.truncate(FAULTS_BESIDE_CRASHES);
    }
    if subject == Subject::Contents {
        steps.truncate(FAULTS_BESIDE_STORMS);
        steps.extend(contents_steps(&mut rng));
    }
    if subject == Subject::Processes {
        steps.truncate(FAULTS_BESIDE_SIGNALS);
        steps.extend(signal_steps(&mut rng));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// The steps that are signals to the processes of servers.
fn signal_steps(rng: &mut ChaCha8Rng) -> Vec<Step> {
    let faults = [
        Fault::EndServer(Signal::KILL),
        Fault::EndServer(Signal::TERM),
        Fault::SuspendServer,
    ];
    let faults = faults.into_iter().cycle().take(SIGNALS);
    faults
        .map(|fault| Step {
            fault,
            ..draw_step(rng)
        })
        .collect()
}

/// The steps that are about the contents of the store.
fn contents_steps(rng: &mut ChaCha8Rng) -> Vec<Step> {
    let mut steps: Vec<Step> = (0..STORMS)
        .map(|_| Step {
            fault: Fault::ConfigurationStorm,
            ..draw_step(rng)
        })
        .collect();
    for fault in [Fault::CutBeforeRemoval, Fault::LosePeers] {
        let step = draw_step(rng);
        steps.push(Step { fault, ..step });
    }
    steps
}

fn draw_step(rng: &mut ChaCha8Rng) -> Step {
    let window_ms = u64::try_from(FAULT_WINDOW.as_millis()).unwrap_or(0);
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
        3 => Fault::Suspend,
        4 => Fault::Reload,
        5 | 6 => Fault::StoreConnection(mode),
        7 => Fault::StoreUnavailable,
        8 => Fault::CompactStore,
        9 | 10 => Fault::ServerConnection(mode),
        11 => Fault::ReplaceServer,
        12 => Fault::ToggleRoute,
        13 => Fault::PoolConnections(mode),
        _ => Fault::RotateKeys,
    };
    Step {
        at: Duration::from_millis(rng.random_range(0..window_ms)),
        duration: Duration::from_millis(rng.random_range(DURATION_MS.0..DURATION_MS.1)),
        fault,
        target: rng.random_range(0..64),
    }
}
