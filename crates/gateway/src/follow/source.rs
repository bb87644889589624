//! Where a node learns the key-value service's contents: there, or from a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use mulberryyoke_platform::Cause;
use mulberryyoke_platform::http::{self, Http};
use mulberryyoke_platform::kv::{Error, Feed, Position};
use mulberryyoke_wire::relay::{CHANGES, LIST, Relayed, Write};
use tokio::time::Instant;

use crate::clock;
use crate::core::Core;

/// Longest time that a call of the key-value service for changes waits, in
/// milliseconds: the age of the configuration is known at least this often. Each
/// call is paid for. After a failure it does not wait, so that a call that hangs is
/// given up, and the service's return seen, the sooner.
const STORE_WAIT_MS: u64 = 700;

/// Longest time that a peer's call waits, in milliseconds: with two silent peers and
/// then the service itself, a change is still in force within three seconds.
const PEER_WAIT_MS: u64 = 600;

/// Longest time to connect to a peer, in milliseconds.
const CONNECT_MS: u64 = 300;

/// Longest time of a call to a peer beyond the time that it waits, in milliseconds.
const CALL_MS: u64 = 300;

/// Largest answer of a peer, in bytes: a configuration of a megabyte and the servers.
const ANSWER_BYTES: usize = 8 << 20;

/// Time for which a peer that failed is not asked again, in milliseconds, while
/// there is another source.
const AVOID_PEER_MS: u64 = 3_000;

/// As [`AVOID_PEER_MS`], for the service itself, as peers may be out of touch as well, and,
/// while the service fails, for a peer that answered that it is: once it is back in touch, those
/// that ask it know within a second. With three seconds nodes knew 1.8 s after the first of them
/// had reached the service. Where the service answers, it is asked rather than such a peer.
const AVOID_SHORT_MS: u64 = 500;

/// Longest time that a call waits at a peer while the service itself fails, in
/// milliseconds: the peer may be waiting in vain as well.
const FAILOVER_WAIT_MS: u64 = 200;

/// Age of what a peer knows from which it is asked no more, in milliseconds: the
/// peer itself is out of touch.
const STALE_MS: u64 = 2_600;

/// Every key: one call tells configuration, servers and gateways alike.
const EVERY_KEY: &str = "";

/// One that can be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Store,
    Peer(SocketAddr),
}

impl Source {
    /// Its name in logs.
    pub(super) fn word(self) -> String {
        match self {
            Self::Store => "key-value service".to_owned(),
            Self::Peer(address) => address.to_string(),
        }
    }
}

/// Those that can be asked, and until when those that failed are not.
pub(super) struct Sources {
    feed: Arc<dyn Feed>,
    http: Http,
    avoided: Vec<(Source, Instant)>,
    /// Whether the last call to the service itself failed.
    is_store_down: bool,
}

impl Sources {
    pub(super) fn new(feed: Arc<dyn Feed>) -> Self {
        Self {
            feed,
            http: Http::open(CONNECT_MS),
            avoided: Vec::new(),
            is_store_down: false,
        }
    }

    /// The source to ask now: for the first gateways in the order of the fleet the
    /// service itself, for the others one of these; after a failure another.
    pub(super) fn choose(&mut self, core: &Core) -> Source {
        let now = Instant::now();
        self.avoided.retain(|(_, until)| *until > now);
        let (is_watcher, peers) = core.exchange.watchers();
        let peers = peers.into_iter().map(Source::Peer);
        let mut order: Vec<Source> = peers.collect();
        if is_watcher {
            order.insert(0, Source::Store);
        } else {
            order.push(Source::Store);
        }
        let is_open = |source: &Source| !self.avoided.iter().any(|(avoided, _)| avoided == source);
        order.into_iter().find(is_open).unwrap_or(Source::Store)
    }

    /// Notes that a source failed.
    pub(super) fn fail(&mut self, source: Source, error: &Error) {
        self.is_store_down |= source == Source::Store;
        let is_out_of_touch = matches!(error, Error::Unknown(Cause::Unreadable(_)));
        let is_short = source == Source::Store || (self.is_store_down && is_out_of_touch);
        let avoid_ms = if is_short {
            AVOID_SHORT_MS
        } else {
            AVOID_PEER_MS
        };
        let until = clock::after(Instant::now(), avoid_ms);
        self.avoided.push((source, until));
    }

    /// Notes that a source answered.
    pub(super) fn succeed(&mut self, source: Source) {
        self.is_store_down &= source != Source::Store;
    }

    /// Reads every key.
    pub(super) async fn list(&self, source: Source) -> Result<Relayed, Error> {
        match source {
            Source::Store => {
                let listing = self.feed.list(EVERY_KEY).await?;
                let writes = listing.entries.into_iter().map(|pair| Write {
                    key: pair.key,
                    value: Some(pair.value),
                    revision: pair.revision,
                });
                Ok(Relayed {
                    known_ms: 0,
                    revision: listing.position.revision,
                    writes: writes.collect(),
                    era: listing.position.era,
                })
            }
            Source::Peer(address) => self.ask(address, LIST, 0).await,
        }
    }

    /// Reads the writes after a position, or learns that the era is another one.
    pub(super) async fn changes(&self, source: Source, after: Position) -> Result<Relayed, Error> {
        match source {
            Source::Store => {
                let wait_ms = if self.is_store_down { 0 } else { STORE_WAIT_MS };
                let changes = self
                    .feed
                    .changes(EVERY_KEY, after.revision, wait_ms)
                    .await?;
                let Position { era, revision } = changes.position;
                if changes.events.is_empty() && changes.position > after {
                    return Err(Error::Compacted(revision));
                }
                let writes = changes.events.into_iter().map(|event| Write {
                    key: event.key,
                    value: event.value,
                    revision: event.revision,
                });
                Ok(Relayed {
                    known_ms: 0,
                    revision,
                    writes: writes.collect(),
                    era,
                })
            }
            Source::Peer(address) => {
                let wait_ms = if self.avoided.is_empty() {
                    PEER_WAIT_MS
                } else {
                    FAILOVER_WAIT_MS
                };
                let Position { era, revision } = after;
                let path = format!("{CHANGES}?era={era}&after={revision}&wait_ms={wait_ms}");
                self.ask(address, &path, wait_ms).await
            }
        }
    }

    async fn ask(&self, peer: SocketAddr, path: &str, wait_ms: u64) -> Result<Relayed, Error> {
        let begun_ms = clock::now_ms();
        let deadline = std::time::Instant::now() + Duration::from_millis(wait_ms + CALL_MS);
        let request = http::request(Method::GET, peer, path, Bytes::new());
        let sent = self.http.send(request, deadline).await;
        let answer = sent.map_err(|failure| Error::Unknown(failure.cause))?;
        if answer.status() == StatusCode::GONE {
            return Err(Error::Compacted(0));
        }
        let body = http::read(answer, ANSWER_BYTES, deadline).await;
        let body = body.map_err(|failure| Error::Unknown(failure.cause))?;
        let relayed = Relayed::decode(&body);
        let now_ms = clock::now_ms();
        let relayed = relayed.filter(|relayed| {
            let known_ms = begun_ms.saturating_add_signed(relayed.known_ms);
            now_ms.saturating_sub(known_ms) < STALE_MS
        });
        relayed.ok_or_else(|| {
            Error::Unknown(Cause::Unreadable("peer is out of touch itself".to_owned()))
        })
    }
}
