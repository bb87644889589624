//! Dispatch of a validated request: server selection, sending and retries.

mod send;
mod trial;

use std::sync::Arc;

use hyper::Response;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{ServerId, VersionId, saturating_u32};
use smallvec::SmallVec;
use tokio::time::Instant;

use self::trial::Trial;
use crate::backend::InFlight;
use crate::balance;
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::denial::Denial;
use crate::eligibility::Eligibility;
use crate::outcome::Outcome;
use crate::quarantine::{self, Barred};
use crate::refusal::Refusal;
use crate::response_body::ResponseBody;
use crate::{streams, waiting};

/// Maximum number of servers tried that did not run the request.
const MAX_NOT_RUN: u32 = 3;

/// Number of crashes from which a suspect is isolated from other suspects. A single crash
/// implicates up to 64 concurrent requests, too many to isolate.
const ISOLATION_CRASHES: u32 = 2;

/// Servers tried for one request, and how many of them may have run it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    tried: SmallVec<[ServerId; 4]>,
    /// Number of servers that may have run the request.
    possible_runs: u32,
    /// Number of servers known not to have run it.
    not_run: u32,
    /// Version of the server that sent the first event of a stream; only servers of this version
    /// may go on with it.
    version: Option<VersionId>,
    /// Last event that the caller received of a stream that was truncated in this response.
    resume_after: Option<u64>,
    /// Whether the request is suspected of crashing servers.
    is_suspect: bool,
    /// Whether the quarantine admitted this copy and it has not run since. Servers that are
    /// unreachable or reject the request don't use up the admission.
    is_admitted: bool,
    trial: Trial,
}

impl Attempts {
    /// Resumes a stream that was truncated after this event, as [`Attempts::run`] does.
    pub(crate) async fn resume(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
        last_event: Option<u64>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        self.resume_after = last_event;
        self.run(core, call, Refusal::OutcomeUnknown).await
    }

    /// Records that a server of this version sent an event, which binds the rest of the stream.
    pub(crate) fn bind_version(&mut self, version: VersionId) {
        self.version.get_or_insert(version);
    }

    /// Last event that the caller has received.
    pub(crate) fn last_event(&self, call: &Call) -> Option<u64> {
        self.resume_after.or(call.resume_after)
    }

    /// Sends the request to one server after another until one responds or no attempt is left.
    /// `last` is the refusal that describes the previous attempt.
    async fn run(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
        mut last: Refusal,
    ) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let (outcome, server) = match self.try_next(core, call).await {
                Ok(sent) => sent,
                Err(refusal) if self.possible_runs == 0 => return Err(refusal),
                Err(_) => return Err(last),
            };
            let cause = outcome.label();
            let (should_retry, refusal) = match outcome {
                Outcome::Completed(response) => return Ok(response),
                Outcome::ServerError(response) if !self.try_reserve_retry(core, call) => {
                    return Ok(response);
                }
                Outcome::ServerError(_) => (true, Refusal::OutcomeUnknown),
                Outcome::Withheld => (call.remaining_ms() > 0, last),
                Outcome::Rejected | Outcome::WrongServer | Outcome::NotSent => {
                    let refusal = if self.possible_runs == 0 {
                        balance::pool_pushback(core, call.pool).unwrap_or(Refusal::Rejected)
                    } else {
                        last
                    };
                    (self.try_reserve_reroute(core, call), refusal)
                }
                Outcome::Unknown => (self.try_reserve_retry(core, call), Refusal::OutcomeUnknown),
                Outcome::InvalidResponse => {
                    (self.try_reserve_retry(core, call), Refusal::InvalidResponse)
                }
                Outcome::Stalled => (true, Refusal::TimedOut),
                Outcome::TimedOut => (false, Refusal::TimedOut),
            };
            if !should_retry {
                return Err(refusal);
            }
            last = refusal;
            log!(core.logger, Event::Retried,
                "request" => &call.id, "cause" => cause, "server" => server.0);
            metrics::counter!("retries_total", "cause" => cause).increment(1);
        }
    }

    /// Selects the next server and sends the request to it.
    async fn try_next(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
    ) -> Result<(Outcome, ServerId), Refusal> {
        let (is_isolated, barred) = self.admit(core, call).await?;
        if self.tried.is_empty() {
            waiting::serve_if_changed(core);
        }
        let eligible = Eligibility {
            tried: &self.tried,
            version: self.version,
            barred: &barred,
        };
        let may_have_run = self.possible_runs > 0;
        let assigned = balance::assign(core, call, eligible, may_have_run, is_isolated);
        let in_flight = match assigned {
            Ok(in_flight) => in_flight,
            Err(denial) => self.wait(core, call, denial).await?,
        };
        let server = in_flight.backend.server.id;
        self.tried.push(server);
        log_routed(core, call, &in_flight, self.possible_runs + self.not_run);
        let outcome = send::send(core, call, in_flight, self).await;
        match outcome {
            Outcome::Rejected | Outcome::WrongServer | Outcome::NotSent | Outcome::Withheld => {
                // A withheld request was not sent, so it doesn't count as an attempt.
                self.not_run += u32::from(!matches!(outcome, Outcome::Withheld));
                // The customer is not charged again for a request that may have run elsewhere.
                if self.possible_runs == 0 {
                    balance::refund(core, call);
                }
            }
            _ => {
                self.possible_runs += 1;
                self.is_admitted = false;
                self.trial = self.trial.after_run();
            }
        }
        Ok((outcome, server))
    }

    /// Admits the request to the quarantine's rules. Returns whether it is to be isolated from other
    /// suspects, and the versions whose servers may not run it.
    async fn admit(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
    ) -> Result<(bool, Barred), Refusal> {
        let verdict = quarantine::admit(core, call, self.is_admitted).await?;
        self.is_suspect = verdict.crashes() > 0;
        self.is_admitted = self.is_suspect;
        let is_admitted = self.trial == Trial::Admitted;
        let admission = quarantine::admit_parts(core, call, is_admitted).await;
        self.trial = Trial::new(admission.is_trial);
        let is_isolated = verdict.crashes() >= ISOLATION_CRASHES || admission.is_trial;
        Ok((is_isolated, admission.barred))
    }

    /// Waits for a server after the first attempt was rejected because of load, or returns the
    /// refusal.
    async fn wait(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
        denial: Denial,
    ) -> Result<InFlight, Refusal> {
        if !self.tried.is_empty() || self.is_suspect {
            return Err(balance::refuse(core, call, denial));
        }
        let in_flight = waiting::wait(core, call, denial).await?;
        // Another copy of the request may have crashed a server in the meantime.
        match self.admit(core, call).await {
            Ok((_, barred)) if barred.contains(&in_flight.backend.server.version) => {
                quarantine::log_withheld(core, call);
                balance::refund(core, call);
                Err(Refusal::PartQuarantined)
            }
            Ok((true, _)) => Ok(in_flight.isolate()),
            Ok((false, _)) => Ok(in_flight),
            Err(refusal) => {
                balance::refund(core, call);
                Err(refusal)
            }
        }
    }

    /// Returns the attempts with the last server counted as having run the request.
    pub(crate) fn after_run(&self) -> Self {
        Self {
            possible_runs: self.possible_runs + 1,
            is_admitted: false,
            trial: self.trial.after_run(),
            ..self.clone()
        }
    }

    /// Reserves a retry of a request that may have run; `false` if none is allowed.
    pub(crate) fn try_reserve_retry(&self, core: &Core, call: &Call) -> bool {
        self.has_attempts_left(call)
            && call.remaining_ms() > 0
            && core.retry_budgets.try_withdraw(call.pool)
    }

    /// Whether one more server may run the request.
    pub(crate) fn has_attempts_left(&self, call: &Call) -> bool {
        call.route.kind.is_retryable() && self.possible_runs < call.route.max_attempts
    }

    /// Whether a stalled server may be given up for another. A suspect must not run twice at the
    /// same time.
    pub(crate) fn may_abandon(&self, call: &Call) -> bool {
        self.has_attempts_left(call) && self.may_run_twice()
    }

    /// Whether the request may run on two servers at the same time.
    fn may_run_twice(&self) -> bool {
        !self.is_suspect && self.trial == Trial::None
    }

    /// Whether the current server, which must not be counted yet, may be given up for another.
    fn may_give_up(&self, call: &Call) -> bool {
        let is_last =
            !call.route.kind.is_retryable() || self.possible_runs + 1 >= call.route.max_attempts;
        !is_last && self.may_run_twice()
    }

    /// Reserves another attempt after a server that did not run the request; `false` if none is
    /// allowed.
    fn try_reserve_reroute(&self, core: &Core, call: &Call) -> bool {
        let is_allowed = self.not_run < MAX_NOT_RUN && call.remaining_ms() > 0;
        is_allowed && core.retry_budgets.try_withdraw(call.pool)
    }
}

/// Dispatches a request and returns the response, or the refusal if there is none.
pub(crate) async fn run(
    core: &Arc<Core>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Refusal> {
    core.retry_budgets.deposit(call.pool);
    let mut attempts = Attempts {
        version: streams::required_version(core, call).await?,
        ..Attempts::default()
    };
    attempts.run(core, call, Refusal::NO_SERVER).await
}

fn log_routed(core: &Core, call: &Call, in_flight: &InFlight, attempt: u32) {
    let (fetch_from, fetched) = in_flight.fetch().unzip();
    if let Some(fetched) = fetched {
        metrics::counter!("fetches_total").increment(1);
        metrics::counter!("fetched_tokens_total").increment(u64::from(fetched));
    }
    let speed = in_flight.backend.engine().speed;
    let (now_ms, percent) = (clock::now_ms(), 100.0);
    log!(core.logger, Event::Routed,
        "request" => &call.id,
        "attempt" => attempt,
        "customer" => call.customer_name(),
        "route" => &call.route.name,
        "server" => &in_flight.backend.server.name,
        "unread" => in_flight.queued_tokens(),
        "uncached" => in_flight.prompt_tokens(),
        "fetched" => fetched.unwrap_or(0),
        "fetch_from" => fetch_from.map(|source| &*source.server.name),
        "expected_ms" => saturating_u32(in_flight.expected_ms()),
        "learned_speed" => saturating_u32(speed.learned(now_ms) * percent),
        "slowdown" => saturating_u32(speed.slowdown(now_ms) * percent),
        "view_age_ms" => core.view.age_ms(),
        "elapsed_ms" => clock::between_ms(call.received_at, Instant::now()));
}
