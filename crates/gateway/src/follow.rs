//! Following the key-value service: configuration, servers and gateways.

mod contents;
mod servers;
mod shares;
mod source;
mod zones;

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::{Error, Position};
use mulberryyoke_platform::{Backoff, Cause};
use mulberryyoke_wire::relay::Relayed;
use tokio::time::{Instant, sleep, sleep_until};

use self::contents::Contents;
use self::source::{Source, Sources};
use crate::clock;
use crate::core::Core;

/// Least time between two calls for changes, in milliseconds: each call is paid for,
/// and a burst of changes is learnt by a few calls.
const PACE_MS: u64 = 200;

/// Pauses after failed calls, in milliseconds.
const PAUSE_MS: (u64, u64) = (50, 400);

/// Follows the service until the gateway ends.
pub(crate) async fn run(core: Arc<Core>) {
    let end = core.shutdown.terminate.clone();
    let mut follower = Follower {
        contents: Contents::new(&core),
        sources: Sources::new(Arc::clone(&core.feed)),
        core,
        is_down: false,
    };
    tokio::select! {
        () = end.cancelled() => {}
        () = follower.run() => {}
    }
}

struct Follower {
    core: Arc<Core>,
    sources: Sources,
    contents: Contents,
    is_down: bool,
}

impl Follower {
    async fn run(&mut self) {
        let mut backoff = Backoff::new(PAUSE_MS.0, PAUSE_MS.1);
        loop {
            let begun_ms = clock::now_ms();
            let source = self.sources.choose(&self.core);
            let listed = self.sources.list(source).await;
            match listed.and_then(|listing| self.no_older(source, listing)) {
                Ok(listing) => {
                    backoff.reset();
                    let position = position(&listing);
                    self.up(source);
                    let writes = listing.writes.iter().cloned();
                    self.core.mirror.reset(writes, position);
                    let contents = &mut self.contents;
                    self.core
                        .registry
                        .batch(|| contents.take_listing(listing.writes, position));
                    contents.settle();
                    self.confirm(source, begun_ms, listing.known_ms);
                    self.watch(position, &mut backoff).await;
                }
                Err(error) => self.pause(source, &error, &mut backoff).await,
            }
        }
    }

    /// Follows changes until the history needed is gone, or the service came back from a copy.
    async fn watch(&mut self, mut known: Position, backoff: &mut Backoff) {
        loop {
            let (begun, begun_ms) = (Instant::now(), clock::now_ms());
            let source = self.sources.choose(&self.core);
            let changes = self.sources.changes(source, known).await;
            match changes.and_then(|changes| self.no_older(source, changes)) {
                // Its revisions say nothing beside those of the era before.
                Ok(changes) if changes.era > known.era => return,
                Ok(changes) => {
                    backoff.reset();
                    self.up(source);
                    known = known.max(position(&changes));
                    self.core.mirror.extend(&changes.writes, known);
                    let known_ms = changes.known_ms;
                    let contents = &mut self.contents;
                    self.core
                        .registry
                        .batch(|| contents.take_changes(changes.writes, known));
                    self.confirm(source, begun_ms, known_ms);
                }
                Err(Error::Compacted(_)) => return,
                Err(error) => self.pause(source, &error, backoff).await,
            }
            self.contents.expire();
            sleep_until(clock::after(begun, PACE_MS)).await;
        }
    }

    /// What a source told, unless that is older than what is known here: a peer may lag. Within
    /// its era the service itself is never behind.
    fn no_older(&self, source: Source, relayed: Relayed) -> Result<Relayed, Error> {
        let (told, known) = (position(&relayed), self.contents.position());
        let is_behind = match source {
            Source::Store => told.era < known.era,
            Source::Peer(_) => told < known,
        };
        if is_behind {
            let why = format!("it tells {told}, before {known}");
            return Err(Error::Unknown(Cause::Unreadable(why)));
        }
        Ok(relayed)
    }

    /// Notes that all writes are known up to `known_ms` milliseconds after a call
    /// came to its source, which is no earlier than it began.
    fn confirm(&self, source: Source, begun_ms: u64, known_ms: i64) {
        self.core
            .view
            .confirm(begun_ms.saturating_add_signed(known_ms));
        if source == Source::Store {
            self.core.view.record_kv_contact(begun_ms);
        }
    }

    async fn pause(&mut self, source: Source, error: &Error, backoff: &mut Backoff) {
        let now = Instant::now();
        self.sources.fail(source, error);
        if source == Source::Store {
            self.contents.fail(now);
        }
        if !self.is_down {
            self.is_down = true;
            log!(self.core.logger, Event::KvDown,
                "source" => source.word(), "error" => error.to_string());
        }
        self.contents.expire();
        let std_now = now.into_std();
        let until = backoff.next(std_now, &mut rand::rng());
        sleep(
            until
                .saturating_duration_since(std_now)
                .max(Duration::from_millis(1)),
        )
        .await;
    }

    fn up(&mut self, source: Source) {
        self.sources.succeed(source);
        if self.is_down {
            self.is_down = false;
            self.contents.recover(Instant::now());
            log!(self.core.logger, Event::KvUp, "source" => source.word());
        }
    }
}

const fn position(relayed: &Relayed) -> Position {
    Position {
        era: relayed.era,
        revision: relayed.revision,
    }
}
