//! Tracks an attempt in flight.

use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, CustomerId, KeyId, Millis, Outcome};

use super::call::Call;
use super::core::Core;
use super::link::Link;
use crate::clock;

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole response was forwarded.
    Complete,
    /// The server or the connection to it failed. Carries the cause.
    Truncated(String),
    /// The caller disconnected.
    CallerClosed,
}

/// An attempt in flight, from just before it is sent to the end of its
/// response. Dropping it records that the caller disconnected.
#[derive(Debug)]
pub(crate) struct InFlight {
    core: Arc<Core>,
    link: Arc<Link>,
    attempt: Attempt,
    customer: CustomerId,
    key: Option<KeyId>,
    received_at: Millis,
    ended: bool,
}

impl InFlight {
    /// Records that an attempt is about to be sent.
    pub(crate) fn start(core: &Arc<Core>, link: &Arc<Link>, call: &Call) -> Self {
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
            received_at: call.received_at,
            ended: false,
        }
    }

    /// Records proof that the attempt did not run.
    pub(crate) fn record_not_run(mut self) {
        self.ended = true;
        self.core.requests.record_not_run(self.attempt.request);
        if let Some(key) = self.key {
            self.core.sent_keys.remove(self.link.id, key);
        }
    }

    /// Records that the attempt's outcome is unknown.
    pub(crate) fn record_unknown(mut self) {
        self.ended = true;
    }

    /// Records the end of the response.
    pub(crate) fn finish(mut self, end: &End) {
        self.end(end);
    }

    fn end(&mut self, end: &End) {
        self.ended = true;
        match end {
            End::Complete => self.record_completed(),
            End::Truncated(cause) => self.record_truncated("server", cause),
            End::CallerClosed => self.record_truncated("caller", "caller disconnected"),
        }
    }

    fn record_completed(&self) {
        self.core
            .requests
            .set_outcome(self.attempt.request, Outcome::Ran);
        metrics::counter!("answers_total").increment(1);
        log!(self.core.logger, Event::Answered,
            "request" => self.attempt.request_id(),
            "customer" => self.customer.0,
            "server" => &self.link.server.name,
            "elapsed_ms" => clock::now().saturating_sub(self.received_at));
    }

    fn record_truncated(&self, side: &'static str, cause: &str) {
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

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.ended {
            self.end(&End::CallerClosed);
        }
        let queue_is_empty = self.core.queues.get(self.link.pool).is_empty();
        self.link.status.request_ended(queue_is_empty);
        self.core.running_counts.decrement(self.customer);
    }
}
