//! A request at a server, counted there until it ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mulberryyoke_decide::engine::Prompt;
use tokio::time::Instant;

use super::Backend;
use crate::clock;
use crate::connection_pool::Connection;
use crate::protocol::Reading;

/// A request at a server, counted in what the server is believed to have until
/// it is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) backend: Arc<Backend>,
    /// Prompt tokens that the server has to read for it.
    pub(crate) tokens: u32,
    /// Prompt tokens that the server had to read before it.
    ahead: u32,
    /// Whether the server had a free slot.
    had_slot: bool,
    /// When it was about to be sent.
    pub(crate) sent: Instant,
    /// When its answer began.
    begun: Option<Instant>,
    /// Whether it is under suspicion and runs apart from others that are.
    is_trial: bool,
}

impl Running {
    /// Counts a request that is about to be sent.
    pub(crate) fn begin(backend: &Arc<Backend>, prompt: Option<&Prompt>) -> Self {
        let none = Prompt::default();
        let now_ms = clock::now_ms();
        backend.cold.count(now_ms);
        backend.life.send(now_ms);
        let mut engine = backend.engine.lock();
        let ahead = engine.backlog();
        let had_slot = engine.excess_requests() == 0;
        let tokens = engine.record_send(prompt.unwrap_or(&none), now_ms);
        drop(engine);
        Self {
            backend: Arc::clone(backend),
            tokens,
            ahead,
            had_slot,
            sent: Instant::now(),
            begun: None,
            is_trial: false,
        }
    }

    /// Counts it as one that runs apart from others under suspicion.
    pub(crate) fn try_apart(mut self) -> Self {
        self.backend.trials.fetch_add(1, Ordering::Relaxed);
        self.is_trial = true;
        self
    }

    /// Prompt tokens that the server had to read before it.
    pub(crate) const fn ahead(&self) -> u32 {
        self.ahead
    }

    /// Notes that its answer has come whole, and keeps the connection on which it came.
    pub(crate) fn finish(mut self, conn: Connection, reading: Reading) {
        self.first();
        self.backend.health.lock().succeed(Instant::now());
        self.backend.give(conn, reading);
    }

    /// Notes that its answer has begun: its prompt is read.
    pub(crate) fn first(&mut self) {
        if self.begun.is_some() {
            return;
        }
        let now = Instant::now();
        self.begun = Some(now);
        let mut engine = self.backend.engine.lock();
        engine.record_first_token(self.tokens);
        // The time that it waited for a slot says nothing of how fast prompts are read.
        if self.had_slot {
            let elapsed = elapsed_ms(self.sent, now);
            let tokens = self.ahead + self.tokens;
            let mut pace = self.backend.pace.lock();
            engine.relative_speed.record_prefill(tokens, elapsed, *pace);
            pace.record_prefill(tokens, elapsed);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.is_trial {
            self.backend.trials.fetch_sub(1, Ordering::Relaxed);
        }
        let mut engine = self.backend.engine.lock();
        let Some(begun) = self.begun else {
            return engine.record_abort(self.tokens);
        };
        engine.record_completion();
        let held_ms = engine.first_token_ms(self.tokens) + elapsed_ms(begun, Instant::now());
        drop(engine);
        self.backend.pace.lock().record_hold(held_ms);
    }
}

#[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
fn elapsed_ms(from: Instant, to: Instant) -> f64 {
    clock::between_ms(from, to) as f64
}
