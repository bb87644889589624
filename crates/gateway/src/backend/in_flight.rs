//! A request at a server, counted there until it ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mulberryyoke_decide::engine::Prompt;
use tokio::time::Instant;

use super::Backend;
use crate::clock;
use crate::connection_pool::Connection;
use crate::protocol::ResponseHead;

/// A request at a server, counted in what the server is believed to have until
/// it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) backend: Arc<Backend>,
    /// Prompt tokens that the server has to read for it.
    pub(crate) prompt_tokens: u32,
    /// Prompt tokens that the server had to read before it.
    queued_tokens: u32,
    /// Whether the server had a free slot.
    had_slot: bool,
    /// When it was about to be sent.
    pub(crate) sent_at: Instant,
    /// When its answer began.
    first_token_at: Option<Instant>,
    /// Whether it is under suspicion and runs apart from others that are.
    is_isolated: bool,
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub(crate) fn start(backend: &Arc<Backend>, prompt: Option<&Prompt>) -> Self {
        let none = Prompt::default();
        let now_ms = clock::now_ms();
        backend.cold.record_send(now_ms);
        backend.instance.record_send(now_ms);
        let mut engine = backend.engine.lock();
        let ahead = engine.backlog();
        let had_slot = engine.excess_requests() == 0;
        let tokens = engine.record_send(prompt.unwrap_or(&none), now_ms);
        drop(engine);
        Self {
            backend: Arc::clone(backend),
            prompt_tokens: tokens,
            queued_tokens: ahead,
            had_slot,
            sent_at: Instant::now(),
            first_token_at: None,
            is_isolated: false,
        }
    }

    /// Counts it as one that runs apart from others under suspicion.
    pub(crate) fn isolate(mut self) -> Self {
        self.backend
            .isolated_requests
            .fetch_add(1, Ordering::Relaxed);
        self.is_isolated = true;
        self
    }

    /// Prompt tokens that the server had to read before it.
    pub(crate) const fn queued_tokens(&self) -> u32 {
        self.queued_tokens
    }

    /// Notes that its answer has come whole, and keeps the connection on which it came.
    pub(crate) fn complete(mut self, conn: Connection, reading: ResponseHead) {
        self.record_first_token();
        self.backend.health.lock().record_success(Instant::now());
        self.backend.release_conn(conn, reading);
    }

    /// Notes that its answer has begun: its prompt is read.
    pub(crate) fn record_first_token(&mut self) {
        if self.first_token_at.is_some() {
            return;
        }
        let now = Instant::now();
        self.first_token_at = Some(now);
        let mut engine = self.backend.engine.lock();
        engine.record_first_token(self.prompt_tokens);
        // The time that it waited for a slot says nothing of how fast prompts are read.
        if self.had_slot {
            let elapsed = elapsed_ms(self.sent_at, now);
            let tokens = self.queued_tokens + self.prompt_tokens;
            let mut pace = self.backend.pool_stats.lock();
            engine.relative_speed.record_prefill(tokens, elapsed, *pace);
            pace.record_prefill(tokens, elapsed);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.is_isolated {
            self.backend
                .isolated_requests
                .fetch_sub(1, Ordering::Relaxed);
        }
        let mut engine = self.backend.engine.lock();
        let Some(begun) = self.first_token_at else {
            return engine.record_abort(self.prompt_tokens);
        };
        engine.record_completion();
        let held_ms = engine.first_token_ms(self.prompt_tokens) + elapsed_ms(begun, Instant::now());
        drop(engine);
        self.backend.pool_stats.lock().record_hold(held_ms);
    }
}

#[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
fn elapsed_ms(from: Instant, to: Instant) -> f64 {
    clock::between_ms(from, to) as f64
}
