//! Speed of one server relative to the usual of its pool.

use mulberryyoke_model::Millis;

use super::{Latency, News, Reading};
use crate::server_load::MAX_AGE_MS;

/// Learned ratios that count as the usual speed: queues that this gateway does not see cause as
/// much between equal servers.
const USUAL: (f64, f64) = (0.8, 1.25);

/// Lowest and highest learned ratio.
const BOUNDS: (f64, f64) = (0.3, 2.0);

/// Lowest and highest accepted slowdown, as factors.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Smallest prefill that yields a sample; shorter ones are dominated by network latency.
const MIN_SAMPLE_TOKENS: u32 = 500;

/// Factor by which a sample's weight falls with each later one. A gateway sends a server about one
/// request every two seconds.
const DECAY: f64 = 0.9;

/// Time to first token for which the usual speed is assumed before the first sample, in
/// milliseconds: about one sample.
const PRIOR_MS: f64 = 100.0;

/// Weight of what peers learned, in milliseconds of samples: about half of the own samples.
const PEER_WEIGHT_MS: f64 = 500.0;

/// Weight of a newer figure from a peer against the earlier ones.
const PEER_SMOOTHING: f64 = 0.3;

/// Time for which a learned ratio counts without newer samples, in milliseconds.
const RETENTION_MS: Millis = 30_000;

/// Number of samples, with decay, from which a learned ratio is told to peers.
const MIN_SAMPLES: f64 = 2.5;

/// Speed of one server relative to the usual of its pool: the learned ratio of expected to
/// observed time to first token, and the slowdown that the server reported.
///
/// The learned ratio is that of the sums over samples, so that long prompts, which tell more,
/// count for more. What peers learned counts like a few own samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Decayed sums over own samples, and their number. A pseudo-sample of usual speed precedes them.
    expected_ms: f64,
    observed_ms: f64,
    samples: f64,
    /// When the last own sample was taken.
    sampled_at: Millis,
    /// Smoothed ratio that peers learned, and its latest sample.
    peers: Option<Reading>,
    /// Last reported slowdown, as a factor.
    slowdown: Option<Reading>,
    /// Whether that report came to this gateway, not to a peer.
    is_own_report: bool,
    /// When the last report of an unusual slowdown expires, in milliseconds.
    unusual_until: Millis,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            expected_ms: PRIOR_MS,
            observed_ms: PRIOR_MS,
            samples: 0.0,
            sampled_at: 0,
            peers: None,
            slowdown: None,
            is_own_report: false,
            unusual_until: 0,
        }
    }
}

impl Speed {
    /// Expected speed at `now` as a multiple of the usual one.
    #[must_use]
    pub fn ratio(&self, now: Millis) -> f64 {
        let learned = self.learned(now);
        let is_usual = (USUAL.0..=USUAL.1).contains(&learned);
        let learned = if is_usual { 1.0 } else { learned };
        learned / self.slowdown(now)
    }

    /// Slowdown of the last report, as a factor; 1 without a recent one.
    #[must_use]
    pub fn slowdown(&self, now: Millis) -> f64 {
        self.recent_slowdown(now)
            .map_or(1.0, |reading| reading.value)
    }

    /// Learned ratio of expected to observed time.
    #[must_use]
    pub fn learned(&self, now: Millis) -> f64 {
        let (mut expected_ms, mut observed_ms) = (PRIOR_MS, PRIOR_MS);
        if now < self.sampled_at.saturating_add(RETENTION_MS) {
            (expected_ms, observed_ms) = (self.expected_ms, self.observed_ms);
        }
        if let Some(peers) = self.recent_peers(now) {
            expected_ms += PEER_WEIGHT_MS;
            observed_ms += PEER_WEIGHT_MS / peers.value;
        }
        (expected_ms / observed_ms).clamp(BOUNDS.0, BOUNDS.1)
    }

    /// Records that the server took `ms` to the first token with `tokens` to prefill. The
    /// caller has divided the time by any reported slowdown.
    pub fn record_first_token(&mut self, tokens: u32, ms: f64, pool: Latency, now: Millis) {
        if tokens < MIN_SAMPLE_TOKENS || ms <= 0.0 {
            return;
        }
        if now >= self.sampled_at.saturating_add(RETENTION_MS) {
            (self.expected_ms, self.observed_ms, self.samples) = (PRIOR_MS, PRIOR_MS, 0.0);
        }
        let expected_ms = pool.first_token_ms(tokens);
        let observed_ms = ms.clamp(expected_ms / BOUNDS.1, expected_ms / BOUNDS.0);
        self.expected_ms = self.expected_ms * DECAY + expected_ms;
        self.observed_ms = self.observed_ms * DECAY + observed_ms;
        self.samples = self.samples * DECAY + 1.0;
        self.sampled_at = now;
    }

    /// Records a slowdown that the server reported to this gateway.
    pub fn record_slowdown(&mut self, percent: u32, now: Millis) {
        let value = f64::from(percent) / 100.0;
        self.set_slowdown(Reading { value, at: now });
        self.is_own_report = true;
    }

    /// Records a slowdown that the server reported to a peer, if it is newer than the last report.
    pub fn receive_slowdown(&mut self, mut reading: Reading) {
        reading.value = reading.value.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        if self.slowdown.is_none_or(|last| last.at < reading.at) {
            self.set_slowdown(reading);
            self.is_own_report = false;
        }
    }

    /// Records a ratio that a peer learned, if it is newer than the last one.
    pub fn receive_learned(&mut self, reading: Reading) {
        let value = reading.value.clamp(BOUNDS.0, BOUNDS.1);
        let smoothed = match self.recent_peers(reading.at) {
            Some(last) if last.at >= reading.at => return,
            Some(last) => last.value + (value - last.value) * PEER_SMOOTHING,
            None => value,
        };
        self.peers = Some(Reading {
            value: smoothed,
            at: reading.at,
        });
    }

    /// What differs from the usual, for peers: own figures, or with `relays`, the latest of own and
    /// peers'. `None` if nothing does.
    #[must_use]
    pub fn news(&self, relays: bool, now: Millis) -> Option<News> {
        let news = News {
            learned: self.learned_news(relays, now),
            slowdown: self.slowdown_news(relays, now),
        };
        (news.learned.is_some() || news.slowdown.is_some()).then_some(news)
    }

    fn learned_news(&self, relays: bool, now: Millis) -> Option<Reading> {
        let is_recent = now < self.sampled_at.saturating_add(RETENTION_MS);
        let own = (is_recent && self.samples >= MIN_SAMPLES).then(|| Reading {
            value: (self.expected_ms / self.observed_ms).clamp(BOUNDS.0, BOUNDS.1),
            at: self.sampled_at,
        });
        let peers = self.recent_peers(now).filter(|_| relays);
        let latest = [own, peers].into_iter().flatten();
        let latest = latest.max_by_key(|reading| reading.at)?;
        latest.differs().then_some(latest)
    }

    /// Includes the report that ends an unusual slowdown.
    fn slowdown_news(&self, relays: bool, now: Millis) -> Option<Reading> {
        let reading = self.recent_slowdown(now)?;
        let is_news = reading.differs() || now < self.unusual_until;
        (is_news && (relays || self.is_own_report)).then_some(reading)
    }

    fn set_slowdown(&mut self, reading: Reading) {
        let is_unusual = reading.differs() || self.slowdown.is_some_and(Reading::differs);
        if is_unusual {
            self.unusual_until = reading.at.saturating_add(MAX_AGE_MS);
        }
        self.slowdown = Some(reading);
    }

    fn recent_slowdown(&self, now: Millis) -> Option<Reading> {
        let reading = self.slowdown?;
        (now < reading.at.saturating_add(MAX_AGE_MS)).then_some(reading)
    }

    fn recent_peers(&self, now: Millis) -> Option<Reading> {
        let reading = self.peers?;
        (now < reading.at.saturating_add(RETENTION_MS)).then_some(reading)
    }
}
