//! How long calls wait, and when their answers are overdue.

use super::call::{Answer, Call, Request, Source};

/// Longest time that a call to the service waits for changes, in milliseconds: the age of the
/// configuration is updated at least this often. Calls are billed.
const SERVICE_WAIT_MS: u64 = 700;

/// Longest time that a call to a peer waits for changes, in milliseconds.
const PEER_WAIT_MS: u64 = 600;

/// Time after which an answer is overdue, beyond the time that the source waits, in milliseconds.
const SLACK_MS: u64 = 100;

/// As [`SLACK_MS`], for a source whose answers were late.
const MAX_SLACK_MS: u64 = 800;

/// Time after which a listing is overdue, in milliseconds, beyond the slack.
const LIST_MS: u64 = 400;

/// Waits and deadlines of calls. A source whose answers are late gets more time: it works, and calls
/// of others in its place would add to the load that makes it slow. One that does not answer gets
/// none.
#[derive(Debug, Default)]
pub(super) struct Patience {
    /// Time after which answers of slow sources are overdue, beyond the time that they wait, in
    /// milliseconds.
    slack_ms: Vec<(Source, u64)>,
}

impl Patience {
    /// Longest time that the followed source waits for changes, in milliseconds.
    pub(super) const fn wait_ms(source: Source) -> u64 {
        match source {
            Source::Service => SERVICE_WAIT_MS,
            Source::Peer(_) => PEER_WAIT_MS,
        }
    }

    /// When the answer to a call is overdue, in milliseconds of [`crate::clock::now_ms`].
    pub(super) fn overdue_at(&self, call: &Call) -> u64 {
        let wait_ms = match call.request {
            Request::List => LIST_MS,
            Request::Changes { wait_ms, .. } => wait_ms,
        };
        call.started_ms + wait_ms + self.slack_ms(call.source())
    }

    fn slack_ms(&self, source: Source) -> u64 {
        let mut known = self.slack_ms.iter();
        let known = known.find(|(known, _)| *known == source);
        known.map_or(SLACK_MS, |(_, slack_ms)| *slack_ms)
    }

    /// Learns from an answer how late it was.
    pub(super) fn learn(&mut self, call: &Call, now_ms: u64) {
        let wait_ms = match call.request {
            Request::List => LIST_MS,
            Request::Changes { wait_ms, .. } => wait_ms,
        };
        self.learn_lateness(call, now_ms.saturating_sub(call.started_ms + wait_ms));
    }

    /// Learns that an answer was not complete in time.
    pub(super) fn learn_incomplete(&mut self, call: &Call) {
        self.learn_lateness(call, MAX_SLACK_MS);
    }

    fn learn_lateness(&mut self, call: &Call, late_ms: u64) {
        let before_ms = self.slack_ms(call.source());
        // One that is late now and then is slow all the same.
        let slack_ms = (2 * late_ms).max(before_ms * 3 / 4);
        let slack_ms = slack_ms.clamp(SLACK_MS, MAX_SLACK_MS);
        self.slack_ms.retain(|(known, _)| *known != call.source());
        if slack_ms > SLACK_MS {
            self.slack_ms.push((call.source(), slack_ms));
        }
    }

    /// How late the slowest source answers, in milliseconds.
    pub(super) fn lateness_ms(&self) -> u64 {
        let slack_ms = self.slack_ms.iter().map(|(_, slack_ms)| *slack_ms);
        (slack_ms.max().unwrap_or(SLACK_MS) - SLACK_MS) / 2
    }

    /// Until when a source that answered now counts as having current data, in milliseconds of
    /// [`crate::clock::now_ms`].
    pub(super) fn current_until(&self, source: Source, answer: &Answer, now_ms: u64) -> u64 {
        match source {
            Source::Service => now_ms + SERVICE_WAIT_MS + self.slack_ms(source),
            Source::Peer(_) => now_ms + answer.current_for_ms.unwrap_or(0),
        }
    }

    /// Forgets sources that are not among these.
    pub(super) fn retain(&mut self, sources: &[Source]) {
        self.slack_ms.retain(|(known, _)| sources.contains(known));
    }
}
