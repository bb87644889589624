//! Outages after which all gateways that watch the store are cut off or turned away, while servers
//! leave one after the other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::time::sleep;

use super::Run;
use crate::fault_log::Scope;
use crate::proxy::Mode;

/// Number of gateways that watch the store, the first ones of the run.
pub(crate) const WATCHERS: usize = 3;

/// Outages of a run. In each, another watcher is turned away and the two others are cut off.
const ROUNDS: usize = 2;

/// Time before an outage.
const CALM: Duration = Duration::from_secs(2);

/// Duration of an outage, and how long before its end the watchers are cut off or turned away.
pub(crate) const AWAY: Duration = Duration::from_millis(4_500);
const LEAD: Duration = Duration::from_millis(500);

/// How long watchers are cut off, and turned away.
const CUT: Duration = Duration::from_secs(12);
const TURNED_AWAY: Duration = Duration::from_secs(9);

/// Interval between two servers that leave, of which each serves on until the end of the round.
const RELEASE_INTERVAL: Duration = Duration::from_millis(700);

/// Time between the return of the store and the first change after it.
const FIRST_CHANGE: Duration = Duration::from_millis(20);

/// How long a server reports that it leaves, and serves on after it is gone.
const DRAINING: Duration = Duration::from_millis(2_500);
const SERVES_ON: Duration = Duration::from_millis(1_500);

/// How the store fails in an outage.
const OUTAGE_MODES: [Mode; 3] = [Mode::Busy, Mode::Reset, Mode::Silence];

/// Histogram of the times between two answers with current data, and its bucket up to a second.
const INTERVALS: &str = "contents_current_interval_seconds_count";
const SHORT_INTERVALS: &str = "contents_current_interval_seconds_bucket{le=\"1\"}";

/// Number of times of over a second between two answers with current data.
fn long_intervals(metrics: &str) -> u64 {
    let value = |name: &str| {
        let mut lines = metrics.lines();
        let value = lines.find_map(|line| line.strip_prefix(name))?;
        value.trim().parse::<u64>().ok()
    };
    value(INTERVALS).unwrap_or(0) - value(SHORT_INTERVALS).unwrap_or(0)
}

impl Run {
    /// Plays the rounds of a seed, which decides how the store fails and who is turned away first.
    pub(super) async fn play_outages(self: &Arc<Self>, seed: u64) {
        let draw = usize::try_from(seed).unwrap_or(0);
        let mode = OUTAGE_MODES[draw % OUTAGE_MODES.len()];
        for round in 0..ROUNDS {
            let choice = draw / OUTAGE_MODES.len();
            let turned_away = (choice + round) % WATCHERS;
            // In half of the seeds all are cut off.
            let turned_away = (choice / WATCHERS).is_multiple_of(2).then_some(turned_away);
            sleep(CALM).await;
            self.play_outage(mode, turned_away).await;
        }
        sleep(CALM).await;
        for gateway in &self.gateways[WATCHERS..] {
            let metrics = gateway.fetch_metrics().await;
            self.long_intervals.lock().push(long_intervals(&metrics));
        }
    }

    async fn play_outage(self: &Arc<Self>, mode: Mode, turned_away: Option<usize>) {
        let outage = self.fault_log.begin(Scope::Store);
        self.store.set_unavailable(true);
        // A store that is busy rejects calls itself.
        if mode != Mode::Busy {
            self.set_store_mode(0..self.gateways.len(), mode);
        }
        sleep(AWAY.saturating_sub(LEAD)).await;
        let watchers = 0..WATCHERS;
        let isolated = watchers.map(|watcher| self.isolate(watcher, Some(watcher) == turned_away));
        let isolated = join_all(isolated);
        let followed = async {
            sleep(LEAD).await;
            self.store.set_unavailable(false);
            self.set_store_mode(WATCHERS..self.gateways.len(), Mode::Forward);
            self.fault_log.end(outage);
            self.returns.lock().push(Instant::now());
            sleep(FIRST_CHANGE).await;
            self.release_servers(CUT.saturating_sub(LEAD + FIRST_CHANGE))
                .await;
        };
        tokio::join!(isolated, followed);
    }

    /// Turns a watcher away from the store, or cuts it off from the store and its peers.
    async fn isolate(&self, watcher: usize, is_turned_away: bool) {
        let fault = self.fault_log.begin(Scope::StoreConnection(watcher));
        if is_turned_away {
            self.store_proxies[watcher].set_mode(Mode::Busy);
            sleep(TURNED_AWAY).await;
        } else {
            self.store_proxies[watcher].set_mode(Mode::Stall);
            self.peer_proxies[watcher].set_mode(Mode::Stall);
            sleep(CUT).await;
            self.peer_proxies[watcher].set_mode(Mode::Forward);
        }
        self.store_proxies[watcher].set_mode(Mode::Forward);
        self.fault_log.end(fault);
    }

    fn set_store_mode(&self, gateways: std::ops::Range<usize>, mode: Mode) {
        for proxy in &self.store_proxies[gateways] {
            proxy.set_mode(mode);
        }
    }

    /// Releases plain servers one after the other for a time.
    async fn release_servers(self: &Arc<Self>, time: Duration) {
        let until = Instant::now() + time;
        let plain = 0..self.subject.plain_servers();
        let mut releases = Vec::new();
        for server in plain.cycle() {
            if Instant::now() + RELEASE_INTERVAL > until {
                break;
            }
            let run = Arc::clone(self);
            releases.push(tokio::spawn(async move {
                run.replace(&run.servers[server], Duration::ZERO, (DRAINING, SERVES_ON))
                    .await;
            }));
            sleep(RELEASE_INTERVAL).await;
        }
        for release in releases {
            release.await.expect("the server is replaced");
        }
    }
}
