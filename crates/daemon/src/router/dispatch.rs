//! Dispatches a validated request: placement, queueing, sending and retries.

use std::sync::Arc;

use hyper::Response;
use mulberryyoke_decide::placement::{self as decide, Candidate};
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Outcome, PoolId, ServerId, State};
use mulberryyoke_settings::Policy;
use mulberryyoke_wire::Verdict;

use super::attempt::{self, AttemptResult};
use super::call::Call;
use super::core::Core;
use super::home;
use super::link::Link;
use super::queueing::{self, WaitResult};
use super::refusal::Refusal;
use super::refusals::{
    key_doubtful, key_used, keys_full, malformed, no_server, outcome_unknown, timed_out,
    unreachable,
};
use super::response_body::ResponseBody;
use super::slot::Slot;
use crate::clock;

/// Limit on attempts per request, regardless of the retry budget.
const MAX_ATTEMPTS: u8 = 100;

/// Answers a request, or refuses it with the outcome known so far.
pub(crate) async fn answer(
    core: &Arc<Core>,
    call: Call,
) -> Result<Response<ResponseBody>, Refusal> {
    core.retry_budget.lock().deposit();
    let mut dispatch = Dispatch {
        core,
        call,
        may_have_run: false,
        was_queued: false,
        failed_server: None,
    };
    let answer = dispatch.run().await;
    answer.map_err(|refusal| dispatch.record_refusal(refusal))
}

struct Dispatch<'a> {
    core: &'a Arc<Core>,
    call: Call,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Whether the request has already been admitted to the queue.
    was_queued: bool,
    /// Server of the last failed attempt.
    failed_server: Option<ServerId>,
}

impl Dispatch<'_> {
    async fn run(&mut self) -> Result<Response<ResponseBody>, Refusal> {
        if self.call.is_expired(clock::now()) {
            return Err(queueing::deadline_passed(self.core, &self.call));
        }
        let mut try_direct = true;
        loop {
            let slot = self.find_slot(try_direct).await?;
            let link = Arc::clone(&slot.link);
            let result = attempt::send(self.core, &self.call, slot).await;
            if self.call.attempt.number >= MAX_ATTEMPTS {
                return Err(unreachable("too many attempts failed"));
            }
            self.failed_server = Some(link.id);
            // A server without a free slot rejected the request: queue it instead.
            try_direct = !matches!(
                result,
                AttemptResult::Rejected(Verdict::Busy | Verdict::Draining, _)
            );
            match result {
                AttemptResult::Response(response) => return Ok(response),
                AttemptResult::Rejected(verdict, retry_after) => {
                    self.handle_verdict(verdict, retry_after, &link)?;
                }
                AttemptResult::NotSent(cause) => {
                    link.status.clear_free_slots();
                    self.withdraw_retry(&cause)?;
                }
                AttemptResult::Unknown(cause) => self.handle_lost(&cause)?,
                AttemptResult::TimedOut => {
                    self.may_have_run = true;
                    return Err(timed_out());
                }
                AttemptResult::Stopping => {
                    self.may_have_run = true;
                    return Err(queueing::stopping());
                }
            }
            self.call.attempt = self.call.attempt.next();
        }
    }

    /// Finds a slot, without queueing if a server is expected to have a free one.
    async fn find_slot(&mut self, try_direct: bool) -> Result<Slot, Refusal> {
        if let Some(key) = self.call.key {
            let slot =
                home::find_slot(self.core, &self.call, key, try_direct, self.was_queued).await?;
            self.was_queued = true;
            return Ok(slot);
        }
        if self.core.settings.policy == Policy::Baseline {
            return self.baseline_slot().ok_or_else(no_server);
        }
        if try_direct && let Some(slot) = self.take_free_slot() {
            return Ok(slot);
        }
        if !has_active_server(self.core, self.call.pool) {
            return Err(no_server());
        }
        let readmit = std::mem::replace(&mut self.was_queued, true);
        if readmit {
            self.core.requests.record_queued(self.call.attempt.request);
        }
        let never = std::future::pending();
        match queueing::wait_for_slot(self.core, &self.call, None, readmit, never).await? {
            WaitResult::Granted(slot) => Ok(slot),
            WaitResult::HomeChanged => Err(no_server()),
        }
    }

    /// Takes a slot that is expected to be free, unless other requests are queued.
    fn take_free_slot(&self) -> Option<Slot> {
        let queue = self.core.queues.get(self.call.pool);
        if !queue.is_empty() {
            return None;
        }
        let mut candidates = candidates(self.core, self.call.pool);
        candidates.retain(|candidate| Some(candidate.server) != self.failed_server);
        let server = decide::choose(&candidates, self.call.prompt_prefix)?;
        let link = self.core.links.get(server)?;
        link.status
            .take_free_slot()
            .then(|| Slot::unreserved(&link))
    }

    fn baseline_slot(&self) -> Option<Slot> {
        let candidates = candidates(self.core, self.call.pool);
        let server = decide::two_random_choices(&candidates, &mut rand::rng())?;
        let link = self.core.links.get(server)?;
        Some(Slot::unreserved(&link))
    }

    /// Handles a sidecar's verdict; returns `Err` if the request must not be retried.
    fn handle_verdict(
        &mut self,
        verdict: Verdict,
        retry_after: Option<u32>,
        link: &Arc<Link>,
    ) -> Result<(), Refusal> {
        match verdict {
            // No retry is charged: the request did no work and is queued again.
            Verdict::Busy | Verdict::Draining => {
                link.status.clear_free_slots();
                Ok(())
            }
            Verdict::DeadlineExceeded => Err(queueing::deadline_passed(self.core, &self.call)),
            Verdict::Malformed => Err(malformed()),
            Verdict::RetryAfter => Err(keys_full(retry_after)),
            Verdict::Indeterminate => Err(key_doubtful(retry_after)),
            Verdict::Running => Err(key_used(Outcome::Running)),
            Verdict::Completed => Err(key_used(Outcome::Ran)),
            Verdict::Interrupted => self.handle_lost("the server failed"),
            Verdict::NotHome | Verdict::Withdrawn | Verdict::Unreachable => {
                self.withdraw_retry(verdict.as_str())
            }
        }
    }

    /// Handles an attempt that may have run. Only idempotent requests are retried.
    fn handle_lost(&mut self, cause: &str) -> Result<(), Refusal> {
        self.may_have_run = true;
        if self.call.key.is_some() {
            return Err(outcome_unknown(cause));
        }
        self.withdraw_retry(cause)
    }

    /// Withdraws a retry from the budget, or refuses the request.
    fn withdraw_retry(&self, cause: &str) -> Result<(), Refusal> {
        if !self.core.retry_budget.lock().try_withdraw() {
            return Err(unreachable(cause));
        }
        metrics::counter!("retries_total").increment(1);
        log!(self.core.logger, Event::Retried,
            "request" => self.call.attempt.request_id(),
            "attempt" => self.call.attempt.number,
            "cause" => cause);
        Ok(())
    }

    /// Records a refusal, after setting its outcome for all attempts of the request.
    fn record_refusal(&self, mut refusal: Refusal) -> Refusal {
        let given = self.call.key.is_some_and(|key| key.from_caller);
        if refusal.outcome == Outcome::NotRun && (self.may_have_run || given) {
            refusal.outcome = Outcome::Unknown;
        }
        self.core
            .requests
            .set_outcome(self.call.attempt.request, refusal.outcome);
        metrics::counter!("refused_total", "code" => refusal.code).increment(1);
        self.log_refusal(&refusal);
        refusal
    }

    fn log_refusal(&self, refusal: &Refusal) {
        let request = self.call.attempt.request_id();
        let customer = self.call.customer.0;
        let code = refusal.code;
        if refusal.outcome == Outcome::Unknown {
            log!(self.core.logger, Event::OutcomeUnknown,
                "request" => request, "customer" => customer, "code" => code);
            return;
        }
        log!(self.core.logger, Event::Refused,
            "request" => request,
            "customer" => customer,
            "code" => code,
            "outcome" => refusal.outcome.as_str());
    }
}

fn candidates(core: &Core, pool: PoolId) -> Vec<Candidate> {
    core.links.with_pool(pool, |links| {
        let eligible = links.iter().filter(|link| link.status.is_eligible());
        eligible
            .map(|link| Candidate {
                server: link.id,
                same_zone: link.same_zone,
                free_slots: link.status.free_slots(),
                slots: link.status.slots(),
                running: link.status.running(),
            })
            .collect()
    })
}

/// Whether the pool has a server that accepts new requests.
fn has_active_server(core: &Core, pool: PoolId) -> bool {
    let view = core.fleet.view();
    let mut servers = view.servers(pool).iter();
    servers.any(|server| server.state == State::Active && !core.fleet.is_leaving(&server.name))
}
