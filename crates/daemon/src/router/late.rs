//! Handles answers that arrive after the attempt was abandoned.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, KeyId, Outcome};

use super::call::Call;
use super::core::Core;
use super::link::Link;
use super::pending::{Pending, verdict_of};

/// How long to wait for a late answer.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// An abandoned attempt that may have run.
struct Late {
    core: Arc<Core>,
    link: Arc<Link>,
    attempt: Attempt,
    key: Option<KeyId>,
}

/// Tries to withdraw an abandoned attempt and discards a late answer. Proof that the
/// attempt did not run is recorded for later outcome queries.
pub(crate) fn watch(core: &Arc<Core>, link: &Arc<Link>, call: &Call, pending: Pending) {
    let late = Late {
        core: Arc::clone(core),
        link: Arc::clone(link),
        attempt: call.attempt,
        key: call.key.map(|key| key.id),
    };
    tokio::spawn(late.run(pending));
}

impl Late {
    async fn run(self, pending: Pending) {
        let withdrawn = tokio::select! {
            withdrawn = self.withdraw() => withdrawn,
            () = self.drop_answer(pending) => return,
        };
        match withdrawn {
            Outcome::NotRun => self.not_run(),
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
            // Only the answer itself can settle the outcome.
            Err(_) => std::future::pending().await,
        }
    }

    async fn drop_answer(&self, pending: Pending) {
        let Ok(Ok(response)) = tokio::time::timeout(LATE_ANSWER_TIMEOUT, pending).await else {
            return;
        };
        if verdict_of(&response).is_some_and(mulberryyoke_wire::Verdict::is_not_run) {
            self.not_run();
            return;
        }
        metrics::counter!("late_answers_dropped_total").increment(1);
        log!(self.core.logger, Event::Dropped,
            "request" => self.attempt.request_id(),
            "attempt" => self.attempt.number,
            "server" => &self.link.server.name);
    }

    fn not_run(&self) {
        self.core.requests.record_not_run(self.attempt.request);
        if let Some(key) = self.key {
            self.core.sent_keys.remove(self.link.id, key);
        }
    }
}
