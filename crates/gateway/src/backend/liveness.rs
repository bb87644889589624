//! What was seen of a server's lives under one registration.

use mulberryyoke_model::ServerId;
use tokio::time::Instant;

/// What was seen of a server's lives under one registration: while the key-value service is
/// away, one that starts again is reached before its new registration is known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    /// When it last took a connection that was opened to see whether it lives.
    pub(crate) last_alive: Option<Instant>,
    /// When a life of it was last found to have ended.
    pub(crate) last_crash: Option<Instant>,
    /// Lives that were found to have ended.
    crashes: u32,
}

impl Liveness {
    /// Notes that a life was found to have ended.
    pub(crate) fn record_crash(&mut self, now: Instant) {
        self.last_crash = Some(now);
        self.crashes += 1;
    }

    /// Notes that another gateway found the registration's first life to have ended; `true` if
    /// this is new here.
    pub(crate) fn receive_crash(&mut self, now: Instant) -> bool {
        let is_new = self.crashes == 0;
        if is_new {
            self.record_crash(now);
        }
        is_new
    }

    /// Whether a request that was sent at an instant met a life that has ended.
    pub(crate) fn has_crashed_since(&self, sent: Instant) -> bool {
        self.last_crash.is_some_and(|ended| ended >= sent)
    }

    /// The life that ended last, or, if `is_next`, the one after it.
    pub(crate) fn instance_id(&self, server: ServerId, is_next: bool) -> ServerId {
        match self.crashes + u32::from(is_next) {
            0 | 1 => server,
            number => ServerId::of(&format!("{} {number}", server.0)),
        }
    }
}
