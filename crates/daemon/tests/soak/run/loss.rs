//! Losses of all gateways during releases of the model servers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use super::{MODEL_POOL, Run};
use crate::fault_log::Scope;
use crate::store_values::name_in_release;

/// Time before a release.
const CALM: Duration = Duration::from_secs(2);

/// Time from the begin of a release to the loss, minimum and maximum, in milliseconds. A release
/// takes about 3.5 s.
const LOSS_DELAY_MS: (u64, u64) = (500, 5_000);

/// Interval between two servers that a release replaces.
const RELEASE_INTERVAL: Duration = Duration::from_millis(150);

/// How long a server reports that it leaves, and serves on after it is gone.
const LEAVING: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_millis(300));

/// Maximum time for which no gateway runs, in milliseconds.
const MAX_DOWN_MS: u64 = 1_500;

/// Time for which the store is away after gateways that were lost have started.
const STORE_AWAY: Duration = Duration::from_millis(1_500);

/// Interval of losses in series, minimum and maximum, in milliseconds.
const SERIES_MS: (u64, u64) = (100, 700);

/// Time in which callers resume streams after a loss.
const OBSERVED: Duration = Duration::from_secs(8);

/// How all gateways are lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    AtOnce,
    /// The store is away when they start again.
    WithoutStore,
    /// One after the other.
    InSeries,
}

const LOSSES: [Loss; 3] = [Loss::AtOnce, Loss::WithoutStore, Loss::InSeries];

impl Run {
    /// Plays a release of half of the servers and one of all, each with a loss of all gateways.
    pub(super) async fn play_losses(self: &Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for divisor in [2, 1] {
            sleep(CALM).await;
            let delay_ms = rng.random_range(LOSS_DELAY_MS.0..LOSS_DELAY_MS.1);
            let kind = LOSSES[rng.random_range(0..LOSSES.len())];
            let down = Duration::from_millis(rng.random_range(0..MAX_DOWN_MS));
            let interval = Duration::from_millis(rng.random_range(SERIES_MS.0..SERIES_MS.1));
            let during = async {
                sleep(Duration::from_millis(delay_ms)).await;
                self.lose(kind, down, interval).await;
            };
            tokio::join!(self.release(divisor), during);
            sleep(OBSERVED).await;
        }
    }

    /// Name of the server with a number, if it starts now.
    pub(super) fn server_name(&self, pool: &str, number: u64) -> String {
        match self.release.load(Ordering::Relaxed) {
            0 => format!("n-{number}"),
            _ if pool != MODEL_POOL => format!("n-{number}"),
            release => name_in_release(release, number),
        }
    }

    /// Replaces one of this number of model servers by those of the next version.
    async fn release(self: &Arc<Self>, divisor: usize) {
        self.release.fetch_add(1, Ordering::Relaxed);
        let servers = self.servers.iter().enumerate();
        let of_pool = servers.filter(|(_, server)| server.pool == MODEL_POOL);
        let indices: Vec<usize> = of_pool.map(|(index, _)| index).step_by(divisor).collect();
        let mut replaced = Vec::new();
        for index in indices {
            let run = Arc::clone(self);
            replaced.push(tokio::spawn(async move {
                run.replace(&run.servers[index], Duration::ZERO, LEAVING)
                    .await;
            }));
            sleep(RELEASE_INTERVAL).await;
        }
        for server in replaced {
            server.await.expect("the server is replaced");
        }
    }

    async fn lose(self: &Arc<Self>, loss: Loss, down: Duration, interval: Duration) {
        match loss {
            Loss::AtOnce => self.kill_all(down).await,
            Loss::WithoutStore => {
                let fault = self.fault_log.begin(Scope::Store);
                self.store.set_unavailable(true);
                self.kill_all(down).await;
                sleep(STORE_AWAY).await;
                self.store.set_unavailable(false);
                self.fault_log.end(fault);
            }
            Loss::InSeries => self.kill_in_series(interval).await,
        }
    }

    /// Kills all gateways at once, and starts them again after a time.
    pub(super) async fn kill_all(&self, down: Duration) {
        let begin = Instant::now();
        let faults: Vec<usize> = (0..self.gateways.len())
            .map(|gateway| self.fault_log.begin(Scope::Gateway(gateway)))
            .collect();
        for gateway in &self.gateways {
            gateway.signal(Signal::KILL);
        }
        sleep(down).await;
        for (gateway, fault) in self.gateways.iter().zip(faults) {
            gateway.wait_for_exit(Duration::from_secs(2)).await;
            gateway.start();
            self.fault_log.end(fault);
        }
        self.losses.lock().push((begin, Instant::now()));
    }

    /// Kills and restarts one gateway after the other.
    async fn kill_in_series(self: &Arc<Self>, interval: Duration) {
        let begin = Instant::now();
        let mut restarted = Vec::new();
        for gateway in 0..self.gateways.len() {
            let run = Arc::clone(self);
            restarted.push(tokio::spawn(async move {
                run.restart(gateway, Signal::KILL).await;
            }));
            sleep(interval).await;
        }
        for gateway in restarted {
            gateway.await.expect("the gateway is restarted");
        }
        self.losses.lock().push((begin, Instant::now()));
    }
}
