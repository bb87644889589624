//! Withdraws abandoned attempts and discards their late responses.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, KeyId, Outcome};
use mulberryyoke_wire::Verdict;

use super::call::Call;
use super::core::Core;
use super::link::Link;
use super::response::{self, ResponseFuture};

/// How long to wait for a late response.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// An abandoned attempt that may have run.
struct AbandonedAttempt {
    core: Arc<Core>,
    link: Arc<Link>,
    attempt: Attempt,
    key: Option<KeyId>,
}

/// Tries to withdraw an abandoned attempt and discards a late response. Proof that the
/// attempt did not run is recorded for later outcome queries.
pub(crate) fn watch(core: &Arc<Core>, link: &Arc<Link>, call: &Call, response: ResponseFuture) {
    let abandoned = AbandonedAttempt {
        core: Arc::clone(core),
        link: Arc::clone(link),
        attempt: call.attempt,
        key: call.key.map(|key| key.id),
    };
    tokio::spawn(abandoned.run(response));
}

impl AbandonedAttempt {
    async fn run(self, response: ResponseFuture) {
        let outcome = tokio::select! {
            outcome = self.withdraw() => outcome,
            () = self.discard_response(response) => return,
        };
        match outcome {
            Outcome::NotRun => self.record_not_run(),
            outcome => self
                .core
                .requests
                .record_late_outcome(self.attempt, outcome),
        }
    }

    async fn withdraw(&self) -> Outcome {
        let withdrawal = self.link.withdraw(self.attempt, None).await;
        match withdrawal {
            Ok(withdrawal) if !withdrawal.doubtful => withdrawal.outcome,
            Ok(_) => Outcome::Unknown,
            // Only the response can settle the outcome.
            Err(_) => std::future::pending().await,
        }
    }

    async fn discard_response(&self, response: ResponseFuture) {
        let Ok(Ok(response)) = tokio::time::timeout(LATE_RESPONSE_TIMEOUT, response).await else {
            return;
        };
        if response::verdict(&response).is_some_and(Verdict::is_not_run) {
            self.record_not_run();
            return;
        }
        metrics::counter!("late_answers_dropped_total").increment(1);
        log!(self.core.logger, Event::Dropped,
            "request" => self.attempt.request_id(),
            "attempt" => self.attempt.number,
            "server" => &self.link.server.name);
    }

    fn record_not_run(&self) {
        self.core.requests.record_not_run(self.attempt.request);
        if let Some(key) = self.key {
            self.core.sent_keys.remove(self.link.id, key);
        }
    }
}
