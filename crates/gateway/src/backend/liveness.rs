//! Crashes of a server under one registration.

use mulberryyoke_model::ServerId;
use tokio::time::Instant;

use crate::clock;

/// Crashes of a server under one registration. There can be several, as a restarted server is
/// reachable before its new registration is known if the key-value service is unavailable.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Liveness {
    /// Time of the last successful probe.
    pub(crate) last_alive: Option<Instant>,
    /// Time at which a crash was last detected.
    pub(crate) last_crash: Option<Instant>,
    /// The same in milliseconds of the boot clock.
    last_crash_ms: u64,
    crashes: u32,
}

impl Liveness {
    pub(crate) fn record_crash(&mut self, now: Instant) {
        self.last_crash = Some(now);
        self.last_crash_ms = clock::now_ms();
        self.crashes += 1;
    }

    /// Records that another gateway detected a crash of the registered instance; `true` if it is
    /// new.
    pub(crate) fn receive_crash(&mut self, now: Instant) -> bool {
        let is_new = self.crashes == 0;
        if is_new {
            self.record_crash(now);
        }
        is_new
    }

    /// Whether the instance to which a request was sent has crashed.
    pub(crate) fn has_crashed_since(&self, sent_at: Instant) -> bool {
        self.last_crash.is_some_and(|crash| crash >= sent_at)
    }

    /// Whether a crash was detected and the server, which last sent something at `heard_ms`, has been
    /// silent since.
    pub(crate) const fn is_down(&self, heard_ms: u64) -> bool {
        self.last_crash.is_some() && heard_ms <= self.last_crash_ms
    }

    /// ID of the instance that crashed last, or, if `is_next`, of its successor.
    pub(crate) fn instance_id(&self, server: ServerId, is_next: bool) -> ServerId {
        match self.crashes + u32::from(is_next) {
            0 | 1 => server,
            number => ServerId::of(&format!("{} {number}", server.0)),
        }
    }
}
