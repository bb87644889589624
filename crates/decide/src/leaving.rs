//! A server's announcement that it is leaving, received directly or relayed by another router.

use mulberryyoke_model::Millis;

/// Time for which a relayed announcement counts, in milliseconds. A server that leaves has
/// terminated by then; one that has not is contacted again and repeats its announcement.
pub const RELAYED_TTL_MS: u64 = 60_000;

/// Leave announcement of a server instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// When the server first announced it to any router.
    announced_at: Option<Millis>,
    /// Whether this router received it from the server itself.
    is_direct: bool,
}

impl Announcement {
    /// Records an announcement by the server itself; returns `true` for the first one.
    pub fn record_direct(&mut self, now: Millis) -> bool {
        let is_new = !self.is_direct;
        self.is_direct = true;
        self.announced_at.get_or_insert(now);
        is_new
    }

    /// Records an announcement relayed by another router, `age_ms` after it was made; returns
    /// `true` if it is new.
    pub fn record_relayed(&mut self, age_ms: u64, now: Millis) -> bool {
        let at = now.saturating_sub(age_ms);
        let is_new = self.announced_at.is_none() && age_ms < RELAYED_TTL_MS;
        // The earliest time counts: message delay makes the announcement appear later with each
        // relay, and it would never expire otherwise.
        if is_new || self.announced_at.is_some_and(|known| at < known) {
            self.announced_at = Some(at);
        }
        is_new
    }

    /// Returns whether the server announced it to this router itself.
    #[must_use]
    pub const fn is_direct(self) -> bool {
        self.is_direct
    }

    /// Returns until when other servers should be preferred because of a relayed announcement.
    #[must_use]
    pub fn avoid_until(self) -> Option<Millis> {
        self.announced_at
            .map(|at| at.saturating_add(RELAYED_TTL_MS))
    }

    /// Returns the age of the announcement for relaying it, or `None` once it is too old.
    #[must_use]
    pub fn age_ms(self, now: Millis) -> Option<u64> {
        let age_ms = now.saturating_sub(self.announced_at?);
        (age_ms < RELAYED_TTL_MS).then_some(age_ms)
    }
}
