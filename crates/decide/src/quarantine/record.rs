//! What is known of one request.

use mulberryyoke_model::{Digest, Millis, ServerId};
use smallvec::SmallVec;

use super::lives::Lives;
use super::{Crash, Suspect, Verdict};

/// Lives of servers under whose ends a request is convicted. Two are met by requests that only
/// stood beside one that ends servers and went on elsewhere with it; a third, run apart from
/// other suspects, is not.
pub const CONVICTION_THRESHOLD: u32 = 3;

/// Ends that are remembered of one request; later ones are its last ones again and again.
const ENDS: usize = 8;

/// Time for which a convicted request reaches no server, in milliseconds. It doubles with each
/// end after that. A wrong conviction costs its caller this time, a wrong acquittal one server.
const SENTENCE_MS: u64 = 60_000;

/// Longest such time, in milliseconds.
const LONGEST_MS: u64 = 480_000;

/// Time after its last end in which a request under suspicion is remembered, in milliseconds.
pub(super) const REMEMBERED_MS: u64 = 600_000;

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Lives that ended under it, oldest first, and when. Those before the last run that ended
    /// well stay, so that what is heard late of them counts for nothing.
    crashes: SmallVec<[(ServerId, Millis); 4]>,
    survived_at: Option<Millis>,
    changed_at: Millis,
    /// Since and until when one copy has the servers for itself.
    trial: Option<(Millis, Millis)>,
}

impl Record {
    /// Notes the end of a life at an instant; `false` if it was known.
    pub(super) fn end(&mut self, server: ServerId, at: Millis, now: Millis) -> bool {
        if self.crashes.iter().any(|(known, _)| *known == server) {
            return false;
        }
        if self.crashes.len() == ENDS {
            self.crashes.remove(0);
        }
        self.crashes.push((server, at));
        // An end before the trial is that of another copy.
        self.trial = self.trial.filter(|(since, _)| at < *since);
        self.crashes.sort_by_key(|(_, at)| *at);
        self.changed_at = now;
        true
    }

    /// Notes that a run ended well at an instant; `false` if a later one was known.
    pub(super) fn survive(&mut self, at: Millis, now: Millis) -> bool {
        if self.survived_at >= Some(at) {
            return false;
        }
        self.survived_at = Some(at);
        self.trial = None;
        self.changed_at = now;
        true
    }

    /// Gives one copy the servers for itself until an instant; `false` if another has them.
    pub(super) fn try_for(&mut self, until: Millis, now: Millis) -> bool {
        if self.trial.is_some_and(|(_, until)| until > now) {
            return false;
        }
        self.trial = Some((now, until));
        true
    }

    /// What the request may do. An end counts unless servers ended in numbers at that moment
    /// that did not run it.
    pub(super) fn verdict(&self, lives: &Lives, now: Millis) -> Verdict {
        let since = self.survived_at.unwrap_or(0);
        let is_own = |server| self.crashes.iter().any(|(own, _)| *own == server);
        let ends = self.crashes.iter().filter(|(_, at)| *at > since);
        let mut ends = ends.filter(|(_, at)| !lives.is_kill(*at, is_own));
        let ended = u32::try_from(ends.clone().count()).unwrap_or(u32::MAX);
        let Some((_, last)) = ends.next_back() else {
            return Verdict::Clear;
        };
        let until = last.saturating_add(sentence_ms(ended));
        if ended >= CONVICTION_THRESHOLD && now < until {
            return Verdict::Convicted {
                crashes: ended,
                until,
            };
        }
        Verdict::Suspect { crashes: ended }
    }

    pub(super) fn tell(&self, digest: Digest, now: Millis) -> Suspect {
        let ends = self.crashes.iter().map(|&(server, at)| Crash {
            server,
            age_ms: now.saturating_sub(at),
        });
        Suspect {
            digest,
            crashes: ends.collect(),
            success_age_ms: self.survived_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Takes in what another gateway knows; `true` if that changed something.
    pub(super) fn merge(&mut self, suspect: &Suspect, now: Millis) -> bool {
        let mut is_changed = false;
        for end in &suspect.crashes {
            is_changed |= self.end(end.server, now.saturating_sub(end.age_ms), now);
        }
        if let Some(age_ms) = suspect.success_age_ms {
            is_changed |= self.hear_survived(now.saturating_sub(age_ms), now);
        }
        is_changed
    }

    /// Notes that another gateway saw a run end well. What clears nothing is no change: as
    /// messages take time, one instant looks a little later each time that it is told.
    fn hear_survived(&mut self, at: Millis, now: Millis) -> bool {
        let known = self.survived_at.unwrap_or(0);
        let mut ends = self.crashes.iter();
        let clears = ends.any(|(_, end)| *end > known && *end <= at);
        if clears {
            return self.survive(at, now);
        }
        self.survived_at = self.survived_at.max(Some(at));
        false
    }

    /// What it would cost to forget it: the more ends, and the later they were learnt, the more.
    pub(super) fn weight(&self) -> (usize, Millis) {
        (self.crashes.len(), self.changed_at)
    }

    pub(super) const fn changed_at(&self) -> Millis {
        self.changed_at
    }

    /// Whether it is too old to matter.
    pub(super) fn is_over(&self, now: Millis) -> bool {
        let last = self.crashes.last().map_or(0, |(_, at)| *at);
        let last = last.max(self.survived_at.unwrap_or(0));
        now.saturating_sub(last) >= REMEMBERED_MS
    }
}

/// Time for which a request reaches no server after so many ends, in milliseconds.
fn sentence_ms(ended: u32) -> u64 {
    let doubled = ended
        .saturating_sub(CONVICTION_THRESHOLD)
        .min(u64::BITS - 1);
    SENTENCE_MS.saturating_mul(1 << doubled).min(LONGEST_MS)
}
