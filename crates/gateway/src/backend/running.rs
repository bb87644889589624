//! A request at a server, counted there until it ends.

use std::sync::Arc;

use mulberryyoke_decide::engine::Prompt;
use tokio::time::Instant;

use super::Backend;
use crate::clock;

/// A request at a server, counted in what the server is believed to have until
/// it is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) backend: Arc<Backend>,
    /// Prompt tokens that the server has to read for it.
    pub(crate) tokens: u32,
    /// Prompt tokens that the server had to read before it.
    ahead: u32,
    sent: Instant,
    has_begun: bool,
}

impl Running {
    /// Counts a request that is about to be sent.
    pub(crate) fn begin(backend: &Arc<Backend>, prompt: Option<&Prompt>) -> Self {
        let none = Prompt::default();
        let mut engine = backend.engine.lock();
        let ahead = engine.backlog();
        let tokens = engine.send(prompt.unwrap_or(&none), clock::now_ms());
        drop(engine);
        Self {
            backend: Arc::clone(backend),
            tokens,
            ahead,
            sent: Instant::now(),
            has_begun: false,
        }
    }

    /// Prompt tokens that the server had to read before it.
    pub(crate) const fn ahead(&self) -> u32 {
        self.ahead
    }

    /// Notes that its answer has begun: its prompt is read.
    pub(crate) fn first(&mut self) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        #[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
        let elapsed = clock::between_ms(self.sent, Instant::now()) as f64;
        let mut engine = self.backend.engine.lock();
        engine.begin(self.tokens);
        engine.rate.observe(self.ahead + self.tokens, elapsed);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut engine = self.backend.engine.lock();
        if self.has_begun {
            engine.end();
        } else {
            engine.abandon(self.tokens);
        }
    }
}
