//! A server's word that it leaves, as the router heard it that was told, and as others know it.

use mulberryyoke_model::Millis;

/// Time for which a word at second hand counts, in milliseconds: a server that leaves has ended by
/// then, and one that has not is asked, and says so again.
pub const RELAYED_TTL_MS: u64 = 60_000;

/// What is known of one life of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// When it first said that it leaves, to whomever.
    said: Option<Millis>,
    /// Whether it said so here.
    is_direct: bool,
}

impl Announcement {
    /// Notes that it says so here; `true` if it did not before.
    pub fn record_direct(&mut self, now: Millis) -> bool {
        let is_new = !self.is_direct;
        self.is_direct = true;
        self.said.get_or_insert(now);
        is_new
    }

    /// Notes that it said so to another router some time ago; `true` if that is new here.
    pub fn record_relayed(&mut self, age_ms: u64, now: Millis) -> bool {
        let at = now.saturating_sub(age_ms);
        let is_new = self.said.is_none() && age_ms < RELAYED_TTL_MS;
        // Messages take time, so that an instant looks later each time that it is told: the
        // earliest counts, or a word that is told to and fro would never be too old.
        if is_new || self.said.is_some_and(|said| at < said) {
            self.said = Some(at);
        }
        is_new
    }

    /// Whether it said so here.
    #[must_use]
    pub const fn is_direct(self) -> bool {
        self.is_direct
    }

    /// Until when others are better asked by what another router told.
    #[must_use]
    pub fn avoid_until(self) -> Option<Millis> {
        self.said.map(|said| said.saturating_add(RELAYED_TTL_MS))
    }

    /// Time since it said so, to tell other routers; `None` once that is too long ago.
    #[must_use]
    pub fn age_ms(self, now: Millis) -> Option<u64> {
        let age_ms = now.saturating_sub(self.said?);
        (age_ms < RELAYED_TTL_MS).then_some(age_ms)
    }
}
