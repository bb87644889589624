//! Answers that come after their caller was told something else.

use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, KeyId, Outcome};

use super::call::Call;
use super::core::Core;
use super::link::Link;
use super::pending::{Pending, verdict_of};

/// How long a late answer is waited for, to count it.
const WATCHED: Duration = Duration::from_mins(1);

/// An attempt that was given up without proof.
struct Late {
    core: Arc<Core>,
    link: Arc<Link>,
    attempt: Attempt,
    key: Option<KeyId>,
}

/// Tries to withdraw an attempt that was given up, and drops its answer should
/// it come. A proof that it has not run is kept for those who ask later.
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
            outcome => self.core.memory.learn(self.attempt, outcome),
        }
    }

    async fn withdraw(&self) -> Outcome {
        let withdrawal = self.link.withdraw(self.attempt, None).await;
        match withdrawal {
            Ok(withdrawal) if !withdrawal.doubtful => withdrawal.outcome,
            Ok(_) => Outcome::Unknown,
            // Only the answer itself can tell more.
            Err(_) => std::future::pending().await,
        }
    }

    async fn drop_answer(&self, pending: Pending) {
        let Ok(Ok(response)) = tokio::time::timeout(WATCHED, pending).await else {
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
        self.core.memory.prove(self.attempt.request);
        if let Some(key) = self.key {
            self.core.keys.forget(self.link.id, key);
        }
    }
}
