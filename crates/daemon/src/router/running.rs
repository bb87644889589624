//! Tracks a request sent to a server.

use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, CustomerId, KeyId, Millis, Outcome};

use super::call::Call;
use super::core::Core;
use super::link::Link;
use crate::clock;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer was forwarded.
    Complete,
    /// The server or the connection to it failed.
    Failed(String),
    /// The caller disconnected.
    Disconnected,
}

/// An attempt in flight, from just before it is sent to the end of its answer.
/// Dropping it records that the caller disconnected.
#[derive(Debug)]
pub(crate) struct Running {
    core: Arc<Core>,
    link: Arc<Link>,
    attempt: Attempt,
    customer: CustomerId,
    key: Option<KeyId>,
    since: Millis,
    ended: bool,
}

impl Running {
    /// Records that an attempt is about to be sent.
    pub(crate) fn begin(core: &Arc<Core>, link: &Arc<Link>, call: &Call) -> Self {
        let key = call.key.map(|key| key.id);
        let attempt = call.attempt;
        core.requests
            .record_attempt(attempt.request, attempt.number, link.id, key);
        if let Some(key) = key {
            core.sent_keys.record(link.id, key, clock::now());
        }
        link.status.request_started();
        core.running_counts.increment(call.customer);
        Self {
            core: Arc::clone(core),
            link: Arc::clone(link),
            attempt,
            customer: call.customer,
            key,
            since: call.since,
            ended: false,
        }
    }

    /// Records proof that the attempt did not run.
    pub(crate) fn not_run(mut self) {
        self.ended = true;
        self.core.requests.record_not_run(self.attempt.request);
        if let Some(key) = self.key {
            self.core.sent_keys.remove(self.link.id, key);
        }
    }

    /// Records that the attempt's outcome is unknown.
    pub(crate) fn lose(mut self) {
        self.ended = true;
    }

    /// Records the end of the answer.
    pub(crate) fn finish(mut self, end: &End) {
        self.end(end);
    }

    fn end(&mut self, end: &End) {
        self.ended = true;
        match end {
            End::Complete => self.answered(),
            End::Failed(cause) => self.truncated("server", cause),
            End::Disconnected => self.truncated("caller", "caller left"),
        }
    }

    fn answered(&self) {
        self.core
            .requests
            .set_outcome(self.attempt.request, Outcome::Ran);
        metrics::counter!("answers_total").increment(1);
        log!(self.core.logger, Event::Answered,
            "request" => self.attempt.request_id(),
            "customer" => self.customer.0,
            "server" => &self.link.server.name,
            "elapsed_ms" => clock::now().saturating_sub(self.since));
    }

    fn truncated(&self, side: &'static str, cause: &str) {
        self.core
            .requests
            .set_outcome(self.attempt.request, Outcome::Unknown);
        metrics::counter!("answers_cut_total", "side" => side).increment(1);
        log!(self.core.logger, Event::Truncated,
            "request" => self.attempt.request_id(),
            "customer" => self.customer.0,
            "server" => &self.link.server.name,
            "side" => side,
            "cause" => cause);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.ended {
            self.end(&End::Disconnected);
        }
        let queue_is_empty = self.core.queues.get(self.link.pool).is_empty();
        self.link.status.request_ended(queue_is_empty);
        self.core.running_counts.decrement(self.customer);
    }
}
