//! A request in flight at a backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mulberryyoke_decide::engine::{Part, Position, Prompt, Reservation};
use mulberryyoke_decide::quarantine::parts::SETTLING_MS;
use mulberryyoke_decide::survival::Mark;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::load::Load;
use super::{Answer, Backend, Fetch};
use crate::clock;
use crate::connection_pool::Connection;
use crate::core::Core;
use crate::framing::Framing;
use crate::protocol::{Identity, ResponseHead};
use crate::survival::health_check;

/// A request in flight, counted in the estimated load of its server until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) backend: Arc<Backend>,
    /// Place in the server's backlog, with the prompt tokens that it has not cached.
    position: Position,
    /// Prompt tokens queued at the server when the request was sent.
    queued_tokens: u32,
    /// Whether the server had a free slot when the request was sent.
    had_free_slot: bool,
    /// Transfer of prompt parts to the server.
    fetch: Option<Fetch>,
    /// Whether a transfer was cancelled before the request was sent. The server then prefills more
    /// than was expected.
    is_fetch_cancelled: bool,
    /// Memory of the server that it is expected to take.
    reservation: Reservation,
    /// Shared parts of the prompt.
    shared: SmallVec<[Part; 4]>,
    /// Maximum number of generated tokens.
    max_output_tokens: u32,
    /// Expected time from the sending to the first token, in milliseconds.
    expected_ms: f64,
    /// Requests at the server and its slots when the request was sent.
    occupancy: (u32, u32),
    /// Slowdown that the server had reported when the request was sent, as a factor.
    slowdown: f64,
    pub(crate) sent_at: Instant,
    /// Mark of its sending; the first one of the server until it is sent.
    sent: Mark,
    first_token_at: Option<Instant>,
    /// Answer that the server has begun to write.
    answer: Option<Answer>,
    /// Epoch of the quarantine's records of prompt parts that the answer has cleared.
    cleared_epoch: u64,
    /// Whether it is a suspect request that is kept apart from other suspects.
    is_isolated: bool,
    load: Load,
}

impl InFlight {
    /// Counts a request, directly before it is sent. The first token of a response that is no
    /// stream is not observed.
    pub(crate) fn start(
        backend: &Arc<Backend>,
        prompt: Option<&Prompt>,
        fetch: Option<Fetch>,
        is_stream: bool,
    ) -> Self {
        let is_observed = prompt.is_some() && is_stream;
        let empty = Prompt::default();
        let prompt = prompt.unwrap_or(&empty);
        let now_ms = clock::now_ms();
        backend.cold.record_send(now_ms);
        backend.instance.record_send(now_ms);
        let mut engine = backend.engine();
        let queued_tokens = engine.backlog();
        let had_free_slot = engine.excess_requests() == 0;
        let occupancy = backend.occupancy(&engine, now_ms);
        let slowdown = engine.speed.slowdown(now_ms);
        let wait_ms = engine.wait_ms();
        let fetch_ms = fetch.as_ref().map_or(0.0, |fetch| {
            engine.record_fetch(prompt, fetch.tokens, now_ms)
        });
        let position = engine.record_send(prompt, now_ms);
        engine.delay(position, fetch_ms);
        let expected_ms = wait_ms + fetch_ms + engine.first_token_ms(position.tokens);
        if !is_observed {
            engine.set_unobserved(position);
        }
        let reservation = engine.reserve(prompt);
        drop(engine);
        if prompt.tokens > 0 {
            backend.footprint.lock().record_request(reservation);
        }
        backend.queue.lock().record_send();
        Self {
            backend: Arc::clone(backend),
            position,
            queued_tokens,
            had_free_slot,
            fetch,
            is_fetch_cancelled: false,
            reservation,
            shared: prompt.shared.clone(),
            max_output_tokens: prompt.max_output_tokens,
            expected_ms,
            occupancy,
            slowdown,
            sent_at: Instant::now(),
            sent: Mark::default(),
            first_token_at: None,
            answer: None,
            cleared_epoch: 0,
            is_isolated: false,
            load: Load::Counted,
        }
    }

    /// Marks the request as a suspect that is kept apart from other suspects.
    pub(crate) fn isolate(mut self) -> Self {
        self.backend
            .isolated_requests
            .fetch_add(1, Ordering::Relaxed);
        self.is_isolated = true;
        self
    }

    /// The server from which prompt parts are fetched, and the number of their tokens.
    pub(crate) fn fetch(&self) -> Option<(&Backend, u32)> {
        let fetch = self.fetch.as_ref()?;
        Some((&*fetch.source, fetch.tokens))
    }

    /// Cancels the transfer if its source is no longer suitable. The server then prefills the parts.
    pub(crate) fn recheck_source(&mut self, now_ms: u64) {
        let is_unsuitable = |fetch: &mut Fetch| !fetch.source.can_supply(now_ms);
        self.is_fetch_cancelled |= self.fetch.take_if(is_unsuitable).is_some();
    }

    /// Prompt tokens queued at the server when the request was sent.
    pub(crate) const fn queued_tokens(&self) -> u32 {
        self.queued_tokens
    }

    /// Records the number of tokens that the server generated for the complete response.
    pub(crate) fn record_output(&self, tokens: u32) {
        let mut footprint = self.backend.footprint.lock();
        footprint.record_output(tokens, self.max_output_tokens);
    }

    /// Prompt tokens of the request that the server has not cached.
    pub(crate) const fn prompt_tokens(&self) -> u32 {
        self.position.tokens
    }

    /// Expected time from the sending to the first token, in milliseconds.
    pub(crate) const fn expected_ms(&self) -> f64 {
        self.expected_ms
    }

    /// Time from the sending to the first token, in milliseconds; `None` before it.
    pub(crate) fn first_token_ms(&self) -> Option<u64> {
        let first_token_at = self.first_token_at?;
        Some(clock::between_ms(self.sent_at, first_token_at))
    }

    /// When the first event was received, in milliseconds of the boot clock.
    pub(crate) fn began_ms(&self) -> Option<u64> {
        let elapsed_ms = clock::between_ms(self.first_token_at?, Instant::now());
        Some(clock::now_ms().saturating_sub(elapsed_ms))
    }

    /// Whether the answer no longer counts as just begun, unless that was returned for this epoch.
    pub(crate) fn is_settled_since(&mut self, epoch: u64) -> bool {
        if self.cleared_epoch == epoch {
            return false;
        }
        let began_at = self.first_token_at;
        let is_settled =
            began_at.is_some_and(|at| clock::between_ms(at, Instant::now()) >= SETTLING_MS);
        if is_settled {
            self.cleared_epoch = epoch;
        }
        is_settled
    }

    /// Records that the request is about to be written to a connection.
    pub(crate) fn record_send(&mut self, core: &Core) {
        health_check::learn_path(core, &self.backend);
        self.sent = self.backend.survival.mark();
    }

    /// Records which server instance sent the head of the answer. Instances that share a name, which
    /// differ by their start, can't be told apart by it.
    pub(crate) fn record_identity(&self, identity: Identity) {
        if identity == Identity::Intended && self.backend.server.started_ms.is_some() {
            return;
        }
        self.backend.survival.record_identity(self.sent, identity);
    }

    /// Records the head of the answer.
    pub(crate) fn record_head(&mut self, framing: Framing, is_success: bool) {
        self.answer = Some(Answer {
            began_at: Instant::now(),
            framing,
            is_success,
        });
    }

    /// Answer that the server has begun to write; `None` before its head was received.
    pub(crate) const fn answer(&self) -> Option<Answer> {
        self.answer
    }

    /// Records a complete response and returns its connection to the pool.
    pub(crate) fn complete(mut self, conn: Connection, response_head: ResponseHead) {
        self.record_response_start();
        if !self.backend.is_model {
            self.record_service();
        }
        self.backend.health.lock().record_success(Instant::now());
        self.backend.release_conn(conn, response_head);
    }

    /// Records the first event of a stream, which means that the prompt has been processed.
    pub(crate) fn record_first_token(&mut self) {
        let Some(now) = self.record_response_start() else {
            return;
        };
        if let Some(fetch) = &self.fetch {
            fetch.record_first_token(now);
        }
        // Time spent waiting for a slot, or on a transfer or its cancellation, would distort the
        // measured latency.
        if self.had_free_slot && self.fetch.is_none() && !self.is_fetch_cancelled {
            let now_ms = clock::now_ms();
            let mut engine = self.backend.engine.lock();
            // The slowdown changes many times a second; the mean of both ends stands for the time
            // between them.
            let slowdown = f64::midpoint(self.slowdown, engine.speed.slowdown(now_ms));
            let elapsed = elapsed_ms(self.sent_at, now) / slowdown;
            let tokens = self.queued_tokens + self.position.tokens;
            let mut pool_stats = self.backend.pool_stats.lock();
            let latency = pool_stats.latency();
            engine
                .speed
                .record_first_token(tokens, elapsed, latency, now_ms);
            pool_stats.record_first_token(tokens, elapsed);
        }
    }

    /// Records the time of a complete plain request.
    fn record_service(&self) {
        let engine = self.backend.engine.lock();
        let slowdown = f64::midpoint(self.slowdown, engine.speed.slowdown(clock::now_ms()));
        drop(engine);
        let elapsed = elapsed_ms(self.sent_at, Instant::now());
        let (requests, slots) = self.occupancy;
        let mut pool_stats = self.backend.pool_stats.lock();
        pool_stats.record_service(elapsed, slowdown, requests, slots);
    }

    /// Counts the request as running and returns the time, if it is the first call.
    fn record_response_start(&mut self) -> Option<Instant> {
        if self.first_token_at.is_some() {
            return None;
        }
        let now = Instant::now();
        self.first_token_at = Some(now);
        let mut engine = self.backend.engine();
        engine.record_first_token(self.position);
        engine.settle(&self.shared, clock::now_ms());
        drop(engine);
        self.backend.room.notify();
        Some(now)
    }

    /// Takes the request out of the load of its server, which has ended its answer.
    pub(crate) fn release(&mut self) {
        if self.load == Load::Released {
            return;
        }
        self.load = Load::Released;
        let mut engine = self.backend.engine();
        engine.release(self.reservation, self.first_token_at.is_some());
        // The task that this wakes waits for the lock, and so finds the memory released.
        self.backend.room.notify();
        let Some(first_token_at) = self.first_token_at else {
            return engine.record_abort(self.position);
        };
        engine.record_completion();
        let held_ms = engine.first_token_ms(self.position.tokens)
            + elapsed_ms(first_token_at, Instant::now());
        drop(engine);
        self.backend.pool_stats.lock().record_hold(held_ms);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.is_isolated {
            self.backend
                .isolated_requests
                .fetch_sub(1, Ordering::Relaxed);
        }
        self.release();
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations of seconds fit exactly"
)]
fn elapsed_ms(from: Instant, to: Instant) -> f64 {
    clock::between_ms(from, to) as f64
}
