//! Gateways that are lost together, and callers that resume streams at those that have just started.

use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::backend::{Behavior, field};
use crate::version_fleet::{Fleet, PROPAGATION};

/// Version of the servers at first, and that of a release.
pub(crate) const OLD: &str = "1";
pub(crate) const NEW: &str = "2";

/// Number of gateways.
pub(crate) const GATEWAYS: usize = 3;

/// Number of streams of a version that are resumed.
pub(crate) const STREAMS: usize = 6;

/// Maximum number of times that streams begin until enough have begun on a version.
const MAX_ROUNDS: usize = 40;

/// Time for which a caller tries to resume its stream.
const PATIENCE: Duration = Duration::from_secs(4);

/// Pause of a caller that is told no time to come back, or one in the past.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interval of losses in series: shorter than that at which gateways tell each other of versions.
const SERIES_INTERVAL: Duration = Duration::from_millis(200);

/// Codes of refusals that tell the caller that its stream cannot go on.
const FINAL: [&str; 2] = ["version_unknown", "version_gone"];

/// What a caller saw of the resumption of its stream.
#[derive(Debug)]
pub(crate) struct Resumption {
    began_at: &'static str,
    /// Versions of the servers that ran an attempt.
    ran_at: Vec<&'static str>,
    went_on: bool,
    refusals: Vec<String>,
}

impl Resumption {
    /// Whether a server of another version than the stream's ran a part of it.
    fn is_joined(&self) -> bool {
        let mut ran_at = self.ran_at.iter();
        ran_at.any(|version| *version != self.began_at)
    }
}

impl Fleet {
    /// Begins streams, several at a time, until this many have begun on a version.
    pub(crate) async fn begin_on(&self, name: &str, version: &str, count: usize) -> Vec<String> {
        let mut begun = Vec::new();
        for round in 0..MAX_ROUNDS {
            let ids = (0..STREAMS).map(|index| format!("{name}{round}-{index}"));
            let ids: Vec<String> = ids.collect();
            let nodes = (0..self.nodes.len()).cycle();
            join_all(nodes.zip(&ids).map(|(node, id)| self.begin(node, id))).await;
            let on_version = ids.into_iter();
            let on_version = on_version.filter(|id| self.version_of(id) == Some(version));
            begun.extend(on_version);
            if begun.len() >= count {
                begun.truncate(count);
                return begun;
            }
        }
        panic!("only {} streams began on version {version}", begun.len());
    }

    /// Starts a release: servers of the new version beside those of the old one. Ends when each
    /// gateway uses them.
    pub(crate) async fn release(&mut self) {
        for _ in 0..2 {
            self.add_server(Behavior::SlowStream, NEW).await;
        }
        sleep(PROPAGATION).await;
        self.begin_on("release", NEW, 2 * GATEWAYS).await;
    }

    pub(crate) fn kill_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
    }

    pub(crate) async fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node).await;
        }
    }

    /// Kills one gateway after another, each as soon as the one before has started again.
    pub(crate) async fn lose_in_series(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
            self.start(node).await;
            self.nodes[node].wait_ready().await;
            sleep(SERIES_INTERVAL).await;
        }
    }

    /// Resumes streams, each at one gateway after another. `name` tells one time from the next.
    async fn resume_all(&self, name: &str, streams: &[String]) -> Vec<Resumption> {
        let resumptions = streams.iter().enumerate();
        let resumptions = resumptions.map(|(index, first)| self.resume_one(name, index, first));
        join_all(resumptions).await
    }

    async fn resume_one(&self, name: &str, index: usize, first: &str) -> Resumption {
        let until = Instant::now() + PATIENCE;
        let mut resumption = Resumption {
            began_at: self.version_of(first).expect("it has begun"),
            ran_at: Vec::new(),
            went_on: false,
            refusals: Vec::new(),
        };
        for attempt in 0.. {
            let id = format!("{first}-{name}-{attempt}");
            let node = (index + attempt) % self.nodes.len();
            let response = self.resume(node, &id, Some(first)).await;
            resumption.ran_at.extend(self.version_of(&id));
            resumption.went_on = response.status == 200 && response.is_complete;
            if resumption.went_on {
                break;
            }
            let retry = field(&response.head, "retry-after").map(str::to_owned);
            let text = format!("{} {retry:?} {}", response.status, response.body.trim());
            let is_final = FINAL.iter().any(|code| text.contains(code));
            resumption.refusals.push(text);
            let retry = retry.and_then(|text| text.parse().ok());
            let pause = retry.map_or(RETRY_PAUSE, Duration::from_secs_f64);
            let at = Instant::now() + pause.max(RETRY_PAUSE);
            if is_final || at >= until {
                break;
            }
            sleep(at - Instant::now()).await;
        }
        resumption
    }

    /// Resumes streams; no server of another version than the stream's runs a part of it.
    pub(crate) async fn expect_apart(&self, name: &str, streams: &[String]) -> Vec<Resumption> {
        let resumptions = self.resume_all(name, streams).await;
        let joined: Vec<_> = resumptions.iter().filter(|seen| seen.is_joined()).collect();
        let seen = (joined.len(), resumptions.len());
        expect_that!(joined, is_empty(), "{name}: joined of resumed: {seen:?}");
        resumptions
    }

    /// Resumes streams; each goes on, at its version.
    pub(crate) async fn expect_goes_on(&self, name: &str, streams: &[String]) {
        let resumptions = self.expect_apart(name, streams).await;
        let stopped: Vec<_> = resumptions.iter().filter(|seen| !seen.went_on).collect();
        let seen = (stopped.len(), resumptions.len());
        expect_that!(stopped, is_empty(), "{name}: stopped of resumed: {seen:?}");
    }

    /// New streams begin: the gateways do not refuse everything.
    pub(crate) async fn expect_begins(&self) {
        self.wait_ready().await;
        for node in 0..self.nodes.len() {
            self.begin(node, &format!("new{node}")).await;
        }
    }
}
