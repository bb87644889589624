//! Sources of the key-value service's contents: selection of the next one, and calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use mulberryyoke_decide::failover::Failover;
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::http::{self, Http};
use mulberryyoke_platform::kv::{Feed, Position};
use mulberryyoke_wire::relay::{Batch, CHANGES, LIST, Write};
use tokio::time::Instant;

use super::failure::Failure;
use super::source::Source;
use crate::clock;
use crate::core::Core;

/// Longest time that a call to the key-value service waits for changes, in milliseconds: the age
/// of the configuration is updated at least this often. Calls are billed. After a failure they do
/// not wait, to detect hanging calls and recovery sooner.
const STORE_WAIT_MS: u64 = 700;

/// Longest time that a call to a peer waits for changes, in milliseconds: a change is applied
/// within three seconds even if two peers and then the service are tried.
const PEER_WAIT_MS: u64 = 600;

/// Timeout of connecting to a peer, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Timeout of a call to a peer beyond the time that it waits for changes, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 300;

/// Maximum size of the service's response to a call for changes, in bytes. A listing carries each
/// key once, and costs less than a longer response.
const MAX_CHANGES_BYTES: usize = 8 << 20;

/// Time for which a failed peer is not called again while there is another source, in
/// milliseconds.
const PEER_BACKOFF_MS: u64 = 3_000;

/// As [`PEER_BACKOFF_MS`], for the service itself, and, while the service fails, for a peer that
/// responded with stale data: changes then spread within a second of the service's recovery. With
/// three seconds, nodes learned them 1.8 s after the first that reached the service.
const SHORT_BACKOFF_MS: u64 = 500;

/// Bounds of the first and of later backoffs from the service of a gateway that does not watch it,
/// in milliseconds, of which at least half is waited: in an outage many such gateways call the
/// service, which counts each call, and they are not to come all at once when it returns.
const SERVICE_BACKOFF_MS: (u64, u64) = (500, 1_500);

/// As [`PEER_WAIT_MS`], while any source fails: the peer's own source may be failing as well.
const FAILOVER_WAIT_MS: u64 = 200;

/// Age from which a peer's data is rejected as stale, in milliseconds.
const STALE_MS: u64 = 2_600;

/// Prefix of every key: one call returns configuration, servers and gateways.
const ALL_KEYS: &str = "";

/// Selects and calls sources.
pub(super) struct Sources {
    feed: Arc<dyn Feed>,
    http: Http,
    failover: Failover<Source>,
    /// Backoff from the service of a gateway that does not watch it.
    service_backoff: Backoff,
    /// Whether the last call to the service failed.
    is_store_down: bool,
    /// Whether this gateway watches the service.
    is_watcher: bool,
}

impl Sources {
    pub(super) fn new(feed: Arc<dyn Feed>) -> Self {
        Self {
            feed,
            http: Http::new(CONNECT_TIMEOUT_MS),
            failover: Failover::default(),
            service_backoff: Backoff::new(SERVICE_BACKOFF_MS.0, SERVICE_BACKOFF_MS.1),
            is_store_down: false,
            is_watcher: false,
        }
    }

    /// Selects the source of the next call: the service itself for the few gateways that watch
    /// it, one of these for the others, and each source in turn after a failure.
    pub(super) fn select(&mut self, core: &Core) -> Source {
        let (is_watcher, peers) = core.exchange.watchers();
        self.is_watcher = is_watcher;
        let peers = peers.into_iter().map(Source::Peer);
        let mut order: Vec<Source> = peers.collect();
        if is_watcher {
            order.insert(0, Source::Store);
        } else {
            order.push(Source::Store);
        }
        let selected = self.failover.select(&order, clock::now_ms());
        selected.unwrap_or(Source::Store)
    }

    /// Records that a call to a source failed.
    pub(super) fn record_failure(&mut self, source: Source, failure: &Failure) {
        self.is_store_down |= source == Source::Store;
        let backoff_ms = match source {
            Source::Store if !self.is_watcher => self.service_backoff_ms(),
            Source::Store => SHORT_BACKOFF_MS,
            Source::Peer(_) if self.is_store_down && failure.is_stale() => SHORT_BACKOFF_MS,
            Source::Peer(_) => PEER_BACKOFF_MS,
        };
        let retry_at = clock::now_ms() + backoff_ms;
        self.failover.record_failure(source, retry_at);
    }

    fn service_backoff_ms(&mut self) -> u64 {
        let now = Instant::now();
        let until = self.service_backoff.next(now.into_std(), &mut rand::rng());
        clock::between_ms(now, until.into())
    }

    /// Records that a call to a source succeeded.
    pub(super) fn record_success(&mut self, source: Source) {
        self.failover.record_success();
        if source == Source::Store {
            self.is_store_down = false;
            self.service_backoff.reset();
        }
    }

    /// Lists every key, at most `max_bytes`.
    pub(super) async fn list(&self, source: Source, max_bytes: usize) -> Result<Batch, Failure> {
        match source {
            Source::Store => {
                let listing = self.feed.list(ALL_KEYS, max_bytes).await?;
                let writes = listing.entries.into_iter().map(|pair| Write {
                    key: pair.key,
                    value: Some(pair.value.into()),
                    revision: pair.revision,
                });
                Ok(Batch {
                    known_ms: 0,
                    revision: listing.position.revision,
                    writes: writes.collect(),
                    era: listing.position.era,
                })
            }
            Source::Peer(address) => self.fetch(address, LIST, 0, max_bytes).await,
        }
    }

    /// Reads the writes after a position, at most `max_bytes`. If the era changed, only the result's
    /// position counts.
    pub(super) async fn changes(
        &self,
        source: Source,
        after: Position,
        max_bytes: usize,
    ) -> Result<Batch, Failure> {
        match source {
            Source::Store => {
                let wait_ms = if self.is_store_down { 0 } else { STORE_WAIT_MS };
                let max_bytes = max_bytes.min(MAX_CHANGES_BYTES);
                let changes = self
                    .feed
                    .changes(ALL_KEYS, after.revision, wait_ms, max_bytes);
                let changes = changes.await?;
                let Position { era, revision } = changes.position;
                if changes.events.is_empty() && changes.position > after {
                    return Err(Failure::Compacted);
                }
                let writes = changes.events.into_iter().map(|event| Write {
                    key: event.key,
                    value: event.value.map(Bytes::from),
                    revision: event.revision,
                });
                Ok(Batch {
                    known_ms: 0,
                    revision,
                    writes: writes.collect(),
                    era,
                })
            }
            Source::Peer(address) => {
                let wait_ms = if self.failover.is_degraded(clock::now_ms()) {
                    FAILOVER_WAIT_MS
                } else {
                    PEER_WAIT_MS
                };
                let Position { era, revision } = after;
                let path = format!("{CHANGES}?era={era}&after={revision}&wait_ms={wait_ms}");
                self.fetch(address, &path, wait_ms, max_bytes).await
            }
        }
    }

    async fn fetch(
        &self,
        peer: SocketAddr,
        path: &str,
        wait_ms: u64,
        max_bytes: usize,
    ) -> Result<Batch, Failure> {
        let started_ms = clock::now_ms();
        let deadline = std::time::Instant::now() + Duration::from_millis(wait_ms + CALL_TIMEOUT_MS);
        let request = http::request(Method::GET, peer, path, Bytes::new());
        let response = self.http.send(request, deadline).await;
        let response = response.map_err(|failure| failure.cause)?;
        let status = response.status();
        let body = http::read_body(response, max_bytes, deadline).await;
        let body = body.map_err(|failure| failure.cause)?;
        match status {
            StatusCode::OK => {}
            StatusCode::GONE => return Err(Failure::Compacted),
            StatusCode::TOO_MANY_REQUESTS => return Err(Failure::Busy),
            StatusCode::SERVICE_UNAVAILABLE => return Err(Failure::Uninformed),
            status => return Err(http::status_error(status, &body).into()),
        }
        let relayed = Batch::decode(&body);
        let relayed = relayed.ok_or_else(|| Failure::Unreadable("not a batch".to_owned()))?;
        let known_ms = started_ms.saturating_add_signed(relayed.known_ms);
        let age_ms = clock::now_ms().saturating_sub(known_ms);
        if age_ms >= STALE_MS {
            return Err(Failure::Outdated { age: age_ms });
        }
        Ok(relayed)
    }
}
