//! A request in flight at a backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mulberryyoke_decide::engine::Prompt;
use tokio::time::Instant;

use super::Backend;
use crate::clock;
use crate::connection_pool::Connection;
use crate::protocol::ResponseHead;

/// A request in flight, counted in the estimated load of its server until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) backend: Arc<Backend>,
    /// Prompt tokens of the request that the server has not cached.
    pub(crate) prompt_tokens: u32,
    /// Prompt tokens queued at the server when the request was sent.
    queued_tokens: u32,
    /// Whether the server had a free slot when the request was sent.
    had_free_slot: bool,
    pub(crate) sent_at: Instant,
    first_token_at: Option<Instant>,
    /// Whether it is a suspect request that is kept apart from other suspects.
    is_isolated: bool,
}

impl InFlight {
    /// Counts a request, directly before it is sent.
    pub(crate) fn start(backend: &Arc<Backend>, prompt: Option<&Prompt>) -> Self {
        let empty = Prompt::default();
        let now_ms = clock::now_ms();
        backend.cold.record_send(now_ms);
        backend.instance.record_send(now_ms);
        let mut engine = backend.engine.lock();
        let queued_tokens = engine.backlog();
        let had_free_slot = engine.excess_requests() == 0;
        let prompt_tokens = engine.record_send(prompt.unwrap_or(&empty), now_ms);
        drop(engine);
        Self {
            backend: Arc::clone(backend),
            prompt_tokens,
            queued_tokens,
            had_free_slot,
            sent_at: Instant::now(),
            first_token_at: None,
            is_isolated: false,
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

    /// Prompt tokens queued at the server when the request was sent.
    pub(crate) const fn queued_tokens(&self) -> u32 {
        self.queued_tokens
    }

    /// Records a complete response and returns its connection to the pool.
    pub(crate) fn complete(mut self, conn: Connection, response_head: ResponseHead) {
        self.record_first_token();
        self.backend.health.lock().record_success(Instant::now());
        self.backend.release_conn(conn, response_head);
    }

    /// Records the start of the response, which means that the prompt has been processed.
    pub(crate) fn record_first_token(&mut self) {
        if self.first_token_at.is_some() {
            return;
        }
        let now = Instant::now();
        self.first_token_at = Some(now);
        let mut engine = self.backend.engine.lock();
        engine.record_first_token(self.prompt_tokens);
        // Time spent waiting for a slot would distort the measured prefill speed.
        if self.had_free_slot {
            let elapsed = elapsed_ms(self.sent_at, now);
            let tokens = self.queued_tokens + self.prompt_tokens;
            let mut pool_stats = self.backend.pool_stats.lock();
            engine
                .relative_speed
                .record_prefill(tokens, elapsed, *pool_stats);
            pool_stats.record_prefill(tokens, elapsed);
        }
        self.backend.room.notify();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.is_isolated {
            self.backend
                .isolated_requests
                .fetch_sub(1, Ordering::Relaxed);
        }
        self.backend.room.notify();
        let mut engine = self.backend.engine.lock();
        let Some(first_token_at) = self.first_token_at else {
            return engine.record_abort(self.prompt_tokens);
        };
        engine.record_completion();
        let held_ms =
            engine.first_token_ms(self.prompt_tokens) + elapsed_ms(first_token_at, Instant::now());
        drop(engine);
        self.backend.pool_stats.lock().record_hold(held_ms);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations of seconds fit exactly"
)]
fn elapsed_ms(from: Instant, to: Instant) -> f64 {
    clock::between_ms(from, to) as f64
}
