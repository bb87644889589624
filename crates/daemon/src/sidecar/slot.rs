//! A slot of the server in use.

use std::sync::Arc;

use mulberryyoke_decide::admission::Termination;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Ticket;

use super::shared::Shared;

/// A slot in use by a started request. Dropping it ends the request, cut off
/// unless another ending was set.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) shared: Arc<Shared>,
    pub(crate) ticket: Ticket,
    ending: Termination,
}

impl Slot {
    pub(crate) fn open(shared: Arc<Shared>, ticket: Ticket) -> Self {
        Self {
            shared,
            ticket,
            ending: Termination::Interrupted,
        }
    }

    /// Counts streamed tokens.
    pub(crate) fn meter(&self, tokens: u64) {
        if tokens > 0 {
            let attempt = self.ticket.attempt;
            self.shared
                .decide(|admission, _| admission.meter(attempt, tokens));
        }
    }

    /// Ends the request.
    pub(crate) fn end(mut self, ending: Termination) {
        self.ending = ending;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let attempt = self.ticket.attempt;
        let ending = std::mem::replace(&mut self.ending, Termination::Interrupted);
        let word = match ending {
            Termination::Complete(_) => "whole",
            Termination::Interrupted => "cut",
            Termination::Unsent => "unsent",
        };
        let tokens = self
            .shared
            .decide(|admission, now| admission.end(attempt, ending, now));
        self.shared.ended.notify_waiters();
        metrics::counter!("sidecar_requests_total", "server" => self.shared.settings.name.clone(), "end" => word)
            .increment(1);
        metrics::counter!("sidecar_tokens_total", "server" => self.shared.settings.name.clone())
            .increment(tokens);
        log!(self.shared.logger, Event::Ended,
            "request" => attempt.request_id(), "attempt" => attempt.number,
            "customer" => self.ticket.customer.0, "end" => word, "tokens" => tokens);
    }
}
