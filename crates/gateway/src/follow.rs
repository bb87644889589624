//! Lists the key-value service's keys, then follows their changes and applies them.

mod applier;
mod call;
mod cold_shares;
mod failure;
mod patience;
mod servers;
mod sources;
mod unreadable;
mod zones;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use mulberryyoke_decide::failover::{Failover, Purpose};
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::Position;
use mulberryyoke_wire::relay::Batch;
use tokio::time::Instant;

use self::applier::Applier;
use self::call::{Answer, Call, Outcome, Request, Source};
use self::failure::{Failure, Next};
use self::patience::Patience;
use self::sources::Sources;
use crate::clock;
use crate::core::Core;
use crate::memory;
use crate::streams;

/// Minimum size that an answer may have beside others, in bytes: of a page of the service's listing.
const MIN_SHARED_BYTES: usize = 4 << 20;

/// Follows the key-value service until the gateway stops.
pub(crate) async fn run(core: Arc<Core>) {
    let terminate = core.shutdown.terminate.clone();
    let mut follower = Follower {
        applier: Applier::new(&core),
        sources: Arc::new(Sources::new(Arc::clone(&core.feed))),
        failover: Failover::default(),
        patience: Patience::new(),
        calls: FuturesUnordered::new(),
        must_list: true,
        current_ms: 0,
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
    sources: Arc<Sources>,
    failover: Failover<SocketAddr>,
    patience: Patience,
    applier: Applier,
    calls: FuturesUnordered<BoxFuture<'static, Outcome>>,
    /// Whether changes cannot be taken until every key is listed: there was no listing yet, the
    /// history was compacted, the changes are too large, or the service was restored from a backup.
    must_list: bool,
    /// When current data was last received, in milliseconds of [`clock::now_ms`].
    current_ms: u64,
    /// Whether it is logged that no source has current data.
    is_down: bool,
    /// Whether it is logged that listings exceed what this gateway can take.
    is_too_large: bool,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            self.start_calls();
            let next_at = [
                self.failover.next_at(clock::now_ms()),
                self.applier.next_expiry(),
            ];
            let next_at = next_at.into_iter().flatten().min().unwrap_or(u64::MAX);
            tokio::select! {
                Some(outcome) = self.calls.next() => self.handle(outcome),
                () = clock::wait_until(next_at) => {}
            }
            self.applier.expire();
        }
    }

    fn start_calls(&mut self) {
        let sources = self.ranked_sources();
        self.failover.update(&sources);
        self.failover.set_listing(self.must_list);
        while let Some(selected) = self.failover.select(clock::now_ms(), &mut rand::rng()) {
            let request = if self.must_list {
                Request::List
            } else {
                let wait_ms = match selected.purpose {
                    Purpose::Follow => self.wait_ms(selected.source),
                    Purpose::Probe => 0,
                };
                let after = self.applier.position();
                Request::Changes { after, wait_ms }
            };
            let call = Call {
                selected,
                request,
                max_bytes: self.max_bytes(),
                started_ms: clock::now_ms(),
            };
            if selected.purpose == Purpose::Follow {
                self.failover.expect_by(self.patience.overdue_at(&call));
            }
            self.start(call);
        }
    }

    fn start(&mut self, call: Call) {
        let sources = Arc::clone(&self.sources);
        self.calls.push(Box::pin(async move {
            let result = sources.call(call).await;
            Outcome { call, result }
        }));
    }

    /// The sources, the preferred one first: the service itself for the few gateways that watch it, one
    /// of these for the others.
    fn ranked_sources(&self) -> Vec<Source> {
        let (is_watcher, peers) = self.core.exchange.watchers();
        let mut sources: Vec<Source> = peers.into_iter().map(Source::Peer).collect();
        let rank = if is_watcher { 0 } else { sources.len() };
        sources.insert(rank, Source::Service);
        sources
    }

    /// Time that a call may wait for changes, so that it ends as long after the last answer as if it
    /// had been made at once.
    fn wait_ms(&self, source: Source) -> u64 {
        let waited_ms = clock::now_ms().saturating_sub(self.current_ms);
        Patience::wait_ms(source).saturating_sub(waited_ms)
    }

    /// Maximum size of an answer, in bytes, if it is the only one that is read.
    fn max_answer_bytes(&self) -> usize {
        memory::max_listing_bytes(self.core.settings.load().memory_mb)
    }

    /// Maximum size of the answer to another call, in bytes: half of that to the call before it, down
    /// to a minimum, so that calls beside each other do not multiply the memory.
    fn max_bytes(&self) -> usize {
        let max_bytes = self.max_answer_bytes();
        let shared = max_bytes >> self.calls.len();
        shared.max(MIN_SHARED_BYTES).min(max_bytes)
    }

    fn handle(&mut self, outcome: Outcome) {
        let Outcome { call, result } = outcome;
        let checked = result.and_then(|answer| self.check(&call, answer));
        match checked {
            Ok(answer) => self.take(&call, answer),
            Err(failure) => self.record_failure(&call, &failure),
        }
    }

    /// Rejects an answer that is older than what was applied when it was asked for: a peer may lag.
    /// The service itself is never behind within an era.
    fn check(&self, call: &Call, answer: Answer) -> Result<Answer, Failure> {
        let received = position(&answer.batch);
        let known = match call.request {
            Request::List => self.applier.position(),
            Request::Changes { after, .. } => after,
        };
        let is_behind = match call.source() {
            Source::Service => received.era < known.era,
            Source::Peer(_) => received < known,
        };
        if is_behind {
            return Err(Failure::Behind { received, known });
        }
        Ok(answer)
    }

    /// Applies an answer.
    fn take(&mut self, call: &Call, answer: Answer) {
        let now_ms = clock::now_ms();
        let is_current = answer.is_current();
        self.patience.learn(call, now_ms);
        if is_current {
            let source = call.source();
            let until_ms = self.patience.current_until(source, &answer, now_ms);
            self.core.view.set_current_until(until_ms);
            self.record_current(call, now_ms);
        }
        self.record_answer(call, is_current);
        let known_ms = answer.batch.known_ms;
        match call.request {
            Request::List => self.apply_listing(answer.batch),
            Request::Changes { .. } => self.apply_changes(answer.batch),
        }
        self.confirm(call, known_ms);
    }

    /// Records that current data was received.
    fn record_current(&mut self, call: &Call, now_ms: u64) {
        if self.current_ms > 0 {
            #[expect(clippy::cast_precision_loss, reason = "some seconds")]
            let interval_s = now_ms.saturating_sub(self.current_ms) as f64 / 1_000.0;
            metrics::histogram!("contents_current_interval_seconds").record(interval_s);
        }
        self.current_ms = now_ms;
        if self.is_down {
            self.is_down = false;
            self.applier.record_recovery(Instant::now());
            log!(self.core.logger, Event::KvUp, "source" => call.source().to_string());
        }
    }

    fn record_answer(&mut self, call: &Call, is_current: bool) {
        let before = self.failover.followed();
        if !is_current {
            count_failure(call.source(), "not_current");
        }
        let now_ms = clock::now_ms();
        if self
            .failover
            .record_answer(call.selected, now_ms, is_current, &mut rand::rng())
        {
            log!(self.core.logger, Event::SourceChanged,
                "source" => call.source().to_string(),
                "before" => before.map(|before| before.to_string()),
                "view_age_ms" => self.core.view.age_ms());
        }
    }

    fn apply_listing(&mut self, listing: Batch) {
        // Another source may have brought what was missing meanwhile.
        if !self.must_list {
            return;
        }
        self.must_list = false;
        self.is_too_large = false;
        let position = position(&listing);
        let is_first = self.applier.position() == Position::default();
        self.core.mirror.reset(listing.writes.clone(), position);
        let applier = &mut self.applier;
        self.core
            .registry
            .batch(|| applier.apply_listing(listing.writes, position));
        applier.update_cold_shares();
        if is_first {
            streams::log_first_contents(&self.core, position.revision);
        }
    }

    fn apply_changes(&mut self, mut changes: Batch) {
        let known = self.applier.position();
        // Revisions of different eras are not comparable.
        if changes.era > known.era {
            self.must_list = true;
            return;
        }
        let received = position(&changes);
        if received < known {
            return;
        }
        self.must_list = false;
        // Another source may have brought some of them meanwhile.
        changes
            .writes
            .retain(|write| write.revision > known.revision);
        self.core.mirror.apply(changes.writes.clone(), received);
        let applier = &mut self.applier;
        self.core
            .registry
            .batch(|| applier.apply_changes(changes.writes, received));
    }

    /// Records that all writes are known up to `known_ms` milliseconds after the source received
    /// a call. That was no earlier than when the call was made.
    fn confirm(&self, call: &Call, known_ms: i64) {
        // What was not applied does not count.
        if self.must_list {
            return;
        }
        let view = &self.core.view;
        view.confirm(call.started_ms.saturating_add_signed(known_ms));
        if call.source() == Source::Service {
            view.record_kv_contact(call.started_ms);
        }
    }

    fn record_failure(&mut self, call: &Call, failure: &Failure) {
        count_failure(call.source(), failure.kind());
        match call.request {
            Request::List => self.report_listing(call, failure),
            Request::Changes { after, .. } => {
                if self.needs_listing(call, failure) {
                    self.list_next(call, failure, after);
                    // The source answers, so that it can be asked for the listing.
                    if !failure.is_incomplete() {
                        return self.record_answer(call, true);
                    }
                }
            }
        }
        if failure.is_incomplete() {
            let now_ms = clock::now_ms();
            self.failover
                .record_slow(call.selected, now_ms, &mut rand::rng());
        } else {
            self.failover.record_failure(call.selected);
        }
        if self.failover.followed().is_none() {
            self.record_loss(call, failure);
        }
    }

    /// Whether every key has to be listed, since no other source brings the changes.
    fn needs_listing(&self, call: &Call, failure: &Failure) -> bool {
        let followed = self.failover.followed();
        let is_alone = followed.is_none_or(|followed| followed == call.source());
        // A peer that is slow to answer says nothing of the changes' size.
        let is_slow_peer = failure.is_incomplete() && call.source() != Source::Service;
        failure.next() == Next::List && is_alone && !is_slow_peer
    }

    fn list_next(&mut self, call: &Call, failure: &Failure, after: Position) {
        self.must_list = true;
        log!(self.core.logger, Event::Relisting,
            "source" => call.source().to_string(), "error" => failure.to_string(),
            "revision" => after.revision, "view_age_ms" => self.core.view.age_ms());
    }

    /// Logs a listing that exceeds what this gateway can take: it stays with what is applied until
    /// keys are removed or it gets more memory.
    fn report_listing(&mut self, call: &Call, failure: &Failure) {
        // One that shares the memory with others may fit alone.
        let is_too_large =
            matches!(failure, Failure::TooLarge(_)) && call.max_bytes == self.max_answer_bytes();
        if is_too_large && !self.is_too_large {
            log!(self.core.logger, Event::ContentsTooLarge,
                "source" => call.source().to_string(), "error" => failure.to_string(),
                "max_bytes" => call.max_bytes, "view_age_ms" => self.core.view.age_ms());
        }
        self.is_too_large |= is_too_large;
    }

    /// Records that no source has current data.
    fn record_loss(&mut self, call: &Call, failure: &Failure) {
        if call.source() == Source::Service {
            self.applier.record_failure(Instant::now());
        }
        if !self.is_down {
            self.is_down = true;
            log!(self.core.logger, Event::KvDown,
                "source" => call.source().to_string(), "error" => failure.to_string());
        }
    }
}

fn count_failure(source: Source, kind: &'static str) {
    metrics::counter!("source_failures_total", "source" => source.kind(), "kind" => kind)
        .increment(1);
}

const fn position(relayed: &Batch) -> Position {
    Position {
        era: relayed.era,
        revision: relayed.revision,
    }
}
