//! How long calls wait, and when their answers are overdue.

use super::call::{Answer, Call, Request, Source};

/// Longest time that a call to the service waits for changes, in milliseconds: the age of the
/// configuration is updated at least this often. Calls are billed.
const SERVICE_WAIT_MS: u64 = 700;

/// Longest time that a call to a peer waits for changes, in milliseconds.
const PEER_WAIT_MS: u64 = 600;

/// Time after which an answer is overdue, beyond the time that the source waits, in milliseconds.
const SLACK_MS: u64 = 100;

/// As [`SLACK_MS`], for a service whose answers were late.
const MAX_SERVICE_SLACK_MS: u64 = 500;

/// Time after which a listing is overdue, in milliseconds.
const LIST_MS: u64 = 500;

/// Waits and deadlines of calls. A service that answers late gets more time: all gateways find it
/// slow, and if each asked others in its place, all would call it. A peer gets none, since others
/// have the same.
#[derive(Debug)]
pub(super) struct Patience {
    /// Time after which an answer of the service is overdue, beyond the time that it waits, in
    /// milliseconds.
    service_slack_ms: u64,
}

impl Patience {
    pub(super) const fn new() -> Self {
        Self {
            service_slack_ms: SLACK_MS,
        }
    }

    /// Longest time that the followed source waits for changes, in milliseconds.
    pub(super) const fn wait_ms(source: Source) -> u64 {
        match source {
            Source::Service => SERVICE_WAIT_MS,
            Source::Peer(_) => PEER_WAIT_MS,
        }
    }

    /// When the answer to a call is overdue, in milliseconds of [`crate::clock::now_ms`].
    pub(super) const fn overdue_at(&self, call: &Call) -> u64 {
        let slack_ms = match call.source() {
            Source::Service => self.service_slack_ms,
            Source::Peer(_) => SLACK_MS,
        };
        match call.request {
            Request::List => call.started_ms + LIST_MS,
            Request::Changes { wait_ms, .. } => call.started_ms + wait_ms + slack_ms,
        }
    }

    /// Learns from an answer of the service how late it was.
    pub(super) fn learn(&mut self, call: &Call, now_ms: u64) {
        let Request::Changes { wait_ms, .. } = call.request else {
            return;
        };
        if call.source() != Source::Service {
            return;
        }
        let late_ms = now_ms.saturating_sub(call.started_ms + wait_ms);
        // One that is late now and then is slow all the same.
        let slack_ms = (2 * late_ms).max(self.service_slack_ms * 3 / 4);
        self.service_slack_ms = slack_ms.clamp(SLACK_MS, MAX_SERVICE_SLACK_MS);
    }

    /// Until when a source that answered now counts as having current data, in milliseconds of
    /// [`crate::clock::now_ms`].
    pub(super) fn current_until(&self, source: Source, answer: &Answer, now_ms: u64) -> u64 {
        match source {
            Source::Service => now_ms + SERVICE_WAIT_MS + self.service_slack_ms,
            Source::Peer(_) => now_ms.saturating_add(answer.current_for_ms.unwrap_or(0)),
        }
    }
}
