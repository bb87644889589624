//! Calls to the sources of the key-value service's contents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use mulberryyoke_platform::http::{self, Http};
use mulberryyoke_platform::kv::{Feed, Position};
use mulberryyoke_wire::relay::{Batch, CHANGES, CURRENT_FOR, LIST, Write};
use mulberryyoke_wire::stream;

use super::call::{Answer, Call, Request, Source};
use super::failure::Failure;
use crate::clock;

/// Timeout of connecting to a peer, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Timeout of a call to a peer beyond the time that it waits for changes, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 300;

/// Timeout of a listing of a peer, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 900;

/// Maximum size of the service's response to a call for changes, in bytes. A listing carries each
/// key once, and costs less than a longer response.
const MAX_CHANGES_BYTES: usize = 8 << 20;

/// Age from which a peer's data is rejected as stale, in milliseconds.
const STALE_MS: u64 = 2_600;

/// Prefix of every key: one call returns configuration, servers and gateways.
const ALL_KEYS: &str = "";

/// Calls sources.
pub(super) struct Sources {
    feed: Arc<dyn Feed>,
    http: Http,
}

impl Sources {
    pub(super) fn new(feed: Arc<dyn Feed>) -> Self {
        Self {
            feed,
            http: Http::new(CONNECT_TIMEOUT_MS),
        }
    }

    /// Makes a call. If the era changed, only the answer's position counts.
    pub(super) async fn call(&self, call: Call) -> Result<Answer, Failure> {
        match (call.source(), call.request) {
            (Source::Service, Request::List) => self.list(call.max_bytes).await,
            (Source::Service, Request::Changes { after, wait_ms }) => {
                let changes = self.changes(after, wait_ms, call.max_bytes).await;
                match changes {
                    // A call that waits may be cut by a service that is not lost.
                    Err(failure) if failure.is_cut() && wait_ms > 0 => {
                        self.changes(after, 0, call.max_bytes).await
                    }
                    changes => changes,
                }
            }
            (Source::Peer(address), Request::List) => {
                let timeout_ms = LIST_TIMEOUT_MS;
                self.fetch(address, LIST, timeout_ms, call.max_bytes).await
            }
            (Source::Peer(address), Request::Changes { after, wait_ms }) => {
                let Position { era, revision } = after;
                let path = format!("{CHANGES}?era={era}&after={revision}&wait_ms={wait_ms}");
                let timeout_ms = wait_ms + CALL_TIMEOUT_MS;
                self.fetch(address, &path, timeout_ms, call.max_bytes).await
            }
        }
    }

    async fn list(&self, max_bytes: usize) -> Result<Answer, Failure> {
        let listing = self.feed.list(ALL_KEYS, max_bytes).await?;
        let writes = listing.entries.into_iter().map(|pair| Write {
            key: pair.key,
            value: Some(pair.value.into()),
            revision: pair.revision,
        });
        Ok(service_answer(listing.position, writes.collect()))
    }

    async fn changes(
        &self,
        after: Position,
        wait_ms: u64,
        max_bytes: usize,
    ) -> Result<Answer, Failure> {
        let max_bytes = max_bytes.min(MAX_CHANGES_BYTES);
        let changes = self
            .feed
            .changes(ALL_KEYS, after.revision, wait_ms, max_bytes);
        let changes = changes.await?;
        if changes.events.is_empty() && changes.position > after {
            return Err(Failure::Compacted);
        }
        let writes = changes.events.into_iter().map(|event| Write {
            key: event.key,
            value: event.value.map(Bytes::from),
            revision: event.revision,
        });
        Ok(service_answer(changes.position, writes.collect()))
    }

    async fn fetch(
        &self,
        peer: SocketAddr,
        path: &str,
        timeout_ms: u64,
        max_bytes: usize,
    ) -> Result<Answer, Failure> {
        let started_ms = clock::now_ms();
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let request = http::request(Method::GET, peer, path, Bytes::new());
        let response = self.http.send(request, deadline).await;
        let response = response.map_err(|failure| failure.cause)?;
        let status = response.status();
        let current_for_ms = reported_current_for(response.headers());
        let body = http::read_body(response, max_bytes, deadline).await;
        let body = body.map_err(|failure| failure.cause)?;
        match status {
            StatusCode::OK => {}
            StatusCode::GONE => return Err(Failure::Compacted),
            StatusCode::TOO_MANY_REQUESTS => return Err(Failure::Busy),
            StatusCode::SERVICE_UNAVAILABLE => return Err(Failure::Uninformed),
            status => return Err(http::status_error(status, &body).into()),
        }
        let batch = Batch::decode(&body);
        let batch = batch.ok_or_else(|| Failure::Unreadable("not a batch".to_owned()))?;
        let known_ms = started_ms.saturating_add_signed(batch.known_ms);
        let age_ms = clock::now_ms().saturating_sub(known_ms);
        if age_ms >= STALE_MS {
            return Err(Failure::Outdated { age: age_ms });
        }
        Ok(Answer {
            batch,
            current_for_ms,
        })
    }
}

/// An answer of the service, which has current data. The archive of streams is read when it is
/// needed, and not kept for other gateways.
fn service_answer(position: Position, mut writes: Vec<Write>) -> Answer {
    writes.retain(|write| !write.key.starts_with(stream::KEYS));
    let batch = Batch {
        known_ms: 0,
        revision: position.revision,
        writes,
        era: position.era,
    };
    Answer {
        batch,
        current_for_ms: None,
    }
}

fn reported_current_for(headers: &HeaderMap) -> Option<u64> {
    headers.get(CURRENT_FOR)?.to_str().ok()?.parse().ok()
}
