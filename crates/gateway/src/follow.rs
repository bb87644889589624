//! Lists the key-value service's keys, then follows their changes and applies them.

mod applier;
mod cold_shares;
mod failure;
mod servers;
mod source;
mod sources;
mod zones;

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::Position;
use mulberryyoke_wire::relay::Batch;
use tokio::time::{Instant, sleep, sleep_until};

use self::applier::Applier;
use self::failure::{Failure, Next};
use self::source::Source;
use self::sources::Sources;
use crate::clock;
use crate::core::Core;
use crate::memory;

/// Minimum interval between two calls for changes, in milliseconds: calls are billed, and one
/// call returns a whole burst of changes.
const MIN_POLL_INTERVAL_MS: u64 = 200;

/// Minimum and maximum delay before retrying a failed call, in milliseconds.
const RETRY_DELAY_MS: (u64, u64) = (50, 400);

/// Follows the key-value service until the gateway stops.
pub(crate) async fn run(core: Arc<Core>) {
    let terminate = core.shutdown.terminate.clone();
    let mut follower = Follower {
        applier: Applier::new(&core),
        sources: Sources::new(Arc::clone(&core.feed)),
        core,
        is_down: false,
        is_too_large: false,
    };
    tokio::select! {
        () = terminate.cancelled() => {}
        () = follower.run() => {}
    }
}

struct Follower {
    core: Arc<Core>,
    sources: Sources,
    applier: Applier,
    /// Whether the last call failed.
    is_down: bool,
    /// Whether it is logged that listings exceed what this gateway can take.
    is_too_large: bool,
}

impl Follower {
    async fn run(&mut self) {
        let mut backoff = Backoff::new(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
        loop {
            let started_ms = clock::now_ms();
            let source = self.sources.select(&self.core);
            let max_bytes = self.max_bytes();
            let listing = self.sources.list(source, max_bytes).await;
            match listing.and_then(|listing| self.reject_stale(source, listing)) {
                Ok(listing) => {
                    backoff.reset();
                    let position = position(&listing);
                    self.record_success(source);
                    self.is_too_large = false;
                    self.core.mirror.reset(listing.writes.clone(), position);
                    let applier = &mut self.applier;
                    self.core
                        .registry
                        .batch(|| applier.apply_listing(listing.writes, position));
                    applier.update_cold_shares();
                    self.confirm(source, started_ms, listing.known_ms);
                    self.watch(position, &mut backoff).await;
                }
                Err(failure) => {
                    self.report_listing(source, &failure, max_bytes);
                    self.back_off(source, &failure, &mut backoff).await;
                }
            }
        }
    }

    /// Logs a listing that exceeds what this gateway can take: it stays with what is applied until
    /// keys are removed or it gets more memory.
    fn report_listing(&mut self, source: Source, failure: &Failure, max_bytes: usize) {
        let is_too_large = matches!(failure, Failure::TooLarge(_));
        if is_too_large && !self.is_too_large {
            log!(self.core.logger, Event::ContentsTooLarge,
                "source" => source.name(), "error" => failure.to_string(), "max_bytes" => max_bytes,
                "view_age_ms" => self.core.view.age_ms());
        }
        self.is_too_large |= is_too_large;
    }

    /// Applies changes until a new listing is needed: the history was compacted, the changes are too
    /// large, or the service was restored from a backup.
    async fn watch(&mut self, mut known: Position, backoff: &mut Backoff) {
        loop {
            let (started, started_ms) = (Instant::now(), clock::now_ms());
            let source = self.sources.select(&self.core);
            let changes = self.changes(source, known).await;
            match changes.and_then(|changes| self.reject_stale(source, changes)) {
                // Revisions of different eras are not comparable.
                Ok(changes) if changes.era > known.era => return,
                Ok(changes) => {
                    backoff.reset();
                    self.record_success(source);
                    known = known.max(position(&changes));
                    self.core.mirror.apply(changes.writes.clone(), known);
                    let known_ms = changes.known_ms;
                    let applier = &mut self.applier;
                    self.core
                        .registry
                        .batch(|| applier.apply_changes(changes.writes, known));
                    self.confirm(source, started_ms, known_ms);
                }
                Err(failure) => match failure.next() {
                    Next::List => {
                        self.report_relisting(source, &failure, known);
                        return;
                    }
                    Next::AskAnother => self.back_off(source, &failure, backoff).await,
                },
            }
            self.applier.expire();
            sleep_until(clock::after(started, MIN_POLL_INTERVAL_MS)).await;
        }
    }

    /// Reads changes, once more if the connection is cut after a call that succeeded.
    async fn changes(&self, source: Source, known: Position) -> Result<Batch, Failure> {
        let max_bytes = self.max_bytes();
        let changes = self.sources.changes(source, known, max_bytes).await;
        match changes {
            Err(failure) if failure.is_cut() && !self.is_down => {
                count_failure(source, &failure);
                self.sources.changes(source, known, max_bytes).await
            }
            changes => changes,
        }
    }

    /// Maximum size of a response, in bytes.
    fn max_bytes(&self) -> usize {
        memory::max_listing_bytes(self.core.settings.load().memory_mb)
    }

    /// Rejects a response that is older than the state applied here: a peer may lag. The service
    /// itself is never behind within an era.
    fn reject_stale(&self, source: Source, relayed: Batch) -> Result<Batch, Failure> {
        let (received, known) = (position(&relayed), self.applier.position());
        let is_stale = match source {
            Source::Store => received.era < known.era,
            Source::Peer(_) => received < known,
        };
        if is_stale {
            return Err(Failure::Behind { received, known });
        }
        Ok(relayed)
    }

    /// Records that all writes are known up to `known_ms` milliseconds after the source received
    /// a call. That was no earlier than `started_ms`, when the call was made.
    fn confirm(&self, source: Source, started_ms: u64, known_ms: i64) {
        self.core
            .view
            .confirm(started_ms.saturating_add_signed(known_ms));
        if source == Source::Store {
            self.core.view.record_kv_contact(started_ms);
        }
    }

    fn report_relisting(&self, source: Source, failure: &Failure, known: Position) {
        count_failure(source, failure);
        log!(self.core.logger, Event::Relisting,
            "source" => source.name(), "error" => failure.to_string(),
            "revision" => known.revision, "view_age_ms" => self.core.view.age_ms());
    }

    async fn back_off(&mut self, source: Source, failure: &Failure, backoff: &mut Backoff) {
        let now = Instant::now();
        count_failure(source, failure);
        self.sources.record_failure(source, failure);
        if source == Source::Store {
            self.applier.record_failure(now);
        }
        if !self.is_down {
            self.is_down = true;
            log!(self.core.logger, Event::KvDown,
                "source" => source.name(), "error" => failure.to_string());
        }
        self.applier.expire();
        let std_now = now.into_std();
        let until = backoff.next(std_now, &mut rand::rng());
        sleep(
            until
                .saturating_duration_since(std_now)
                .max(Duration::from_millis(1)),
        )
        .await;
    }

    fn record_success(&mut self, source: Source) {
        self.sources.record_success(source);
        if self.is_down {
            self.is_down = false;
            self.applier.record_recovery(Instant::now());
            log!(self.core.logger, Event::KvUp, "source" => source.name());
        }
    }
}

fn count_failure(source: Source, failure: &Failure) {
    metrics::counter!("source_failures_total", "source" => source.kind(), "kind" => failure.kind())
        .increment(1);
}

const fn position(relayed: &Batch) -> Position {
    Position {
        era: relayed.era,
        revision: relayed.revision,
    }
}
