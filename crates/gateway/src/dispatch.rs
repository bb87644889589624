//! Dispatch of a validated request: server selection, sending and retries.

mod collected;
mod routed;
mod send;
mod trial;

use std::sync::Arc;

use hyper::Response;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{ServerId, VersionId};
use smallvec::SmallVec;
use tokio::time::Instant;

use self::trial::Trial;
use crate::backend::InFlight;
use crate::balance;
use crate::call::Call;
use crate::core::Core;
use crate::denial::Denial;
use crate::eligibility::Eligibility;
use crate::outcome::Outcome;
use crate::quarantine::{self, Barred};
use crate::refusal::Refusal;
use crate::response_body::ResponseBody;
use crate::streams::start::{self, Start};
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
    /// When this copy asked the quarantine for its admission, if it has not run since. Servers that
    /// are unreachable or reject the request don't use up the admission.
    admitted_at: Option<Instant>,
    trial: Trial,
    /// Versions that may not run the request because of its prompt's parts.
    barred: Barred,
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

    /// As [`Self::try_all`]. Ends the admission of a suspect that has not run.
    async fn run(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
        last: Refusal,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let result = self.try_all(core, call, last).await;
        if let (Err(_), Some(asked_at)) = (&result, self.admitted_at.take()) {
            quarantine::withdraw(core, call, asked_at);
        }
        result
    }

    /// Sends the request to one server after another until one responds or no attempt is left.
    /// `last` is the refusal that describes the previous attempt.
    async fn try_all(
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
        let in_flight = self.assign(core, call).await?;
        let server = in_flight.backend.server.id;
        self.tried.push(server);
        routed::record(core, call, &in_flight, self.possible_runs + self.not_run);
        let outcome = send::send(core, call, in_flight, self).await;
        match outcome {
            Outcome::Rejected | Outcome::WrongServer | Outcome::NotSent | Outcome::Withheld => {
                // A withheld request was not sent, so it doesn't count as an attempt.
                self.not_run += u32::from(!matches!(outcome, Outcome::Withheld));
                start::record_not_run(call, &outcome);
                // The customer is not charged again for a request that may have run elsewhere.
                if self.possible_runs == 0 {
                    balance::refund(core, call);
                }
            }
            _ => {
                self.possible_runs += 1;
                self.admitted_at = None;
                self.trial = self.trial.after_run();
            }
        }
        Ok((outcome, server))
    }

    /// Selects a server that may run the request, or waits for one.
    async fn assign(&mut self, core: &Arc<Core>, call: &Arc<Call>) -> Result<InFlight, Refusal> {
        loop {
            let in_flight = self.select(core, call).await?;
            // Only a copy that is about to be sent asks for an admission, which excludes other copies.
            let admitted = self.admit(core, call).await;
            let version = in_flight.backend.server.version;
            match admitted {
                Ok(is_isolated) if !self.barred.contains(&version) => {
                    return Ok(if is_isolated {
                        in_flight.isolate()
                    } else {
                        in_flight
                    });
                }
                // A server of another version is selected next, as this one is barred.
                Ok(_) => self.refund(core, call),
                Err(refusal) => {
                    self.refund(core, call);
                    return Err(refusal);
                }
            }
        }
    }

    /// Selects a server by what is known here.
    async fn select(&mut self, core: &Arc<Core>, call: &Arc<Call>) -> Result<InFlight, Refusal> {
        let is_isolated = self.check(core, call)?;
        if self.tried.is_empty() {
            waiting::serve_if_changed(core);
        }
        let may_have_run = self.possible_runs > 0;
        let is_bound = self.version.is_some() || may_have_run;
        let reserved = (!is_bound).then(|| waiting::reserved(core, call));
        let eligible = self.eligible(reserved.as_deref().unwrap_or_default());
        match balance::assign(core, call, eligible, may_have_run, is_isolated) {
            Ok(in_flight) => Ok(in_flight),
            Err(denial) => self.wait(core, call, denial, is_isolated).await,
        }
    }

    /// Returns which servers may run the request.
    fn eligible<'a>(&'a self, reserved: &'a [VersionId]) -> Eligibility<'a> {
        Eligibility {
            tried: &self.tried,
            version: self.version,
            reserved,
            barred: &self.barred,
        }
    }

    /// Refunds the customer, unless the request may have run elsewhere.
    fn refund(&self, core: &Core, call: &Call) {
        if self.possible_runs == 0 {
            balance::refund(core, call);
        }
    }

    /// Checks what is known here of the request; `true` if it is to be isolated from other suspects.
    fn check(&mut self, core: &Core, call: &Call) -> Result<bool, Refusal> {
        let verdict = quarantine::check(core, call)?;
        self.is_suspect = verdict.crashes() > 0;
        self.bar(quarantine::barred(core, call));
        Ok(verdict.crashes() >= ISOLATION_CRASHES)
    }

    /// Admits the request to the quarantine's rules; `true` if it is to be isolated from other
    /// suspects.
    async fn admit(&mut self, core: &Arc<Core>, call: &Arc<Call>) -> Result<bool, Refusal> {
        let asked_at = Instant::now();
        let verdict = quarantine::admit(core, call, self.admitted_at.is_some()).await?;
        self.is_suspect = verdict.crashes() > 0;
        let admitted_at = self.admitted_at.unwrap_or(asked_at);
        self.admitted_at = self.is_suspect.then_some(admitted_at);
        let is_trial = self.trial == Trial::Admitted;
        let admission = quarantine::admit_parts(core, call, is_trial).await;
        self.trial = Trial::new(admission.is_trial);
        self.bar(admission.barred);
        Ok(verdict.crashes() >= ISOLATION_CRASHES || admission.is_trial)
    }

    /// Adds versions that may not run the request. None is taken off while it is dispatched.
    fn bar(&mut self, versions: Barred) {
        let new = versions.into_iter();
        let new: Barred = new
            .filter(|version| !self.barred.contains(version))
            .collect();
        self.barred.extend(new);
    }

    /// Waits for a server after a request that has not run was rejected because of load, or returns
    /// the refusal.
    async fn wait(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
        denial: Denial,
        is_isolated: bool,
    ) -> Result<InFlight, Refusal> {
        if self.possible_runs > 0 || is_isolated {
            return Err(balance::refuse(core, call, denial));
        }
        waiting::wait(core, call, denial, self.eligible(&[])).await
    }

    /// Returns the attempts with the last server counted as having run the request.
    pub(crate) fn after_run(&self) -> Self {
        Self {
            possible_runs: self.possible_runs + 1,
            admitted_at: None,
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
    let mut start = Start::observe(core, call);
    let result = run_observed(core, call, start.as_mut()).await;
    if let Some(start) = start {
        start.end(result.as_ref().map_err(|refusal| *refusal));
    }
    result
}

async fn run_observed(
    core: &Arc<Core>,
    call: &Arc<Call>,
    start: Option<&mut Start>,
) -> Result<Response<ResponseBody>, Refusal> {
    let version = streams::required_version(core, call).await?;
    if let Some(start) = start {
        start.require(version);
    }
    let mut attempts = Attempts {
        version,
        ..Attempts::default()
    };
    attempts.run(core, call, Refusal::NO_SERVER).await
}
