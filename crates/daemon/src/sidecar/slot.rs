//! A server slot held by a running request.

use std::sync::Arc;

use mulberryyoke_decide::admission::Termination;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Ticket;

use super::shared::Shared;

/// A slot held by a running request. Dropping it ends the request as
/// interrupted, unless [`Slot::end`] set another termination.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) shared: Arc<Shared>,
    pub(crate) ticket: Ticket,
    termination: Termination,
}

impl Slot {
    pub(crate) fn new(shared: Arc<Shared>, ticket: Ticket) -> Self {
        Self {
            shared,
            ticket,
            termination: Termination::Interrupted,
        }
    }

    /// Records generated tokens.
    pub(crate) fn record_tokens(&self, tokens: u64) {
        if tokens > 0 {
            let attempt = self.ticket.attempt;
            self.shared
                .decide(|admission, _| admission.meter(attempt, tokens));
        }
    }

    /// Ends the request with the given termination.
    pub(crate) fn end(mut self, termination: Termination) {
        self.termination = termination;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let attempt = self.ticket.attempt;
        let termination = std::mem::replace(&mut self.termination, Termination::Interrupted);
        let label = match termination {
            Termination::Complete(_) => "whole",
            Termination::Interrupted => "cut",
            Termination::Unsent => "unsent",
        };
        let tokens = self
            .shared
            .decide(|admission, now| admission.end(attempt, termination, now));
        self.shared.request_ended.notify_waiters();
        metrics::counter!("sidecar_requests_total", "server" => self.shared.settings.name.clone(), "end" => label)
            .increment(1);
        metrics::counter!("sidecar_tokens_total", "server" => self.shared.settings.name.clone())
            .increment(tokens);
        log!(self.shared.logger, Event::Ended,
            "request" => attempt.request_id(), "attempt" => attempt.number,
            "customer" => self.ticket.customer.0, "end" => label, "tokens" => tokens);
    }
}
