//! How long calls wait, and when their answers are overdue.

use super::call::{Answer, Call, Request, Source};

/// Longest time that a call to the service waits for changes, in milliseconds: the age of the
/// configuration is updated at least this often. Calls are billed.
const SERVICE_WAIT_MS: u64 = 700;

/// Longest time that a call to a peer waits for changes, in milliseconds.
const PEER_WAIT_MS: u64 = 600;

/// Time after which an answer is overdue, beyond the time that the source waits, in milliseconds.
const SLACK_MS: u64 = 100;

/// As [`SLACK_MS`], for a service that is slow.
const MAX_SLACK_MS: u64 = 500;

/// Time after which a listing is overdue, in milliseconds.
const LIST_SLACK_MS: u64 = 400;

/// Waits and deadlines of calls. A service that answers slowly gets more time, since every gateway
/// finds it slow and none would gain by asking another.
#[derive(Debug)]
pub(super) struct Patience {
    slack_ms: u64,
}

impl Patience {
    pub(super) const fn new() -> Self {
        Self { slack_ms: SLACK_MS }
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
            Source::Service => self.slack_ms,
            Source::Peer(_) => SLACK_MS,
        };
        match call.request {
            Request::List => call.started_ms + LIST_SLACK_MS,
            Request::Changes { wait_ms, .. } => call.started_ms + wait_ms + slack_ms,
        }
    }

    /// Learns from an answer of the service how slow it is.
    pub(super) fn learn(&mut self, call: &Call, answer: &Answer, now_ms: u64) {
        let Request::Changes { wait_ms, .. } = call.request else {
            return;
        };
        // One with changes may have been waited for any time.
        if call.source() == Source::Service && answer.batch.writes.is_empty() {
            let latency_ms = now_ms.saturating_sub(call.started_ms + wait_ms);
            self.slack_ms = (2 * latency_ms).clamp(SLACK_MS, MAX_SLACK_MS);
        }
    }

    /// Until when a source that answered now counts as having current data, in milliseconds of
    /// [`crate::clock::now_ms`].
    pub(super) fn current_until(&self, source: Source, answer: &Answer, now_ms: u64) -> u64 {
        match source {
            Source::Service => now_ms + SERVICE_WAIT_MS + self.slack_ms,
            Source::Peer(_) => now_ms + answer.current_for_ms.unwrap_or(0),
        }
    }
}
