//! From a checked request to its answer: choosing, sending, trying again.

mod send;

use std::sync::Arc;

use hyper::Response;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::ServerId;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::backend::InFlight;
use crate::balance;
use crate::call::Call;
use crate::clock;
use crate::core::Core;
use crate::outcome::Outcome;
use crate::quarantine;
use crate::refusal::Refusal;
use crate::response_body::ResponseBody;

/// Times that one request is sent though none of the servers may have run it.
const MOST_UNSENT: u32 = 3;

/// Time without an answer after which another server is asked, in hundredths of
/// the objective: there is time left for the second to be on time.
const STALL: u64 = 60;

/// As [`STALL`], for streams: with a full queue a first event may well take the
/// whole objective, and a second server would begin anew.
const STREAM_STALL: u64 = 130;

/// Ends of servers from which a request under suspicion runs apart from other suspects: with
/// one, it is among up to 64 that stood together, too many to keep apart.
const APART: u32 = 2;

/// Servers asked for one request, and what they may have done.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trials {
    tried: SmallVec<[ServerId; 4]>,
    /// Servers that may have run it.
    ran: u32,
    /// Servers that have not.
    not_run: u32,
    /// Whether it is under suspicion of ending servers.
    is_suspect: bool,
    /// Whether it is the one copy that may run, and has not run since that was asked: servers
    /// that cannot be reached or turn it away use nothing up.
    is_admitted: bool,
}

impl Trials {
    /// Asks servers one after the other until one answers or no other may be asked.
    /// `resume_after` is the last event that the caller has, when its stream broke off, and
    /// `last` what became of the request before.
    pub(crate) async fn run(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
        resume_after: Option<u64>,
        mut last: Refusal,
    ) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let (outcome, server) = match self.next(core, call, resume_after).await {
                Ok(sent) => sent,
                Err(refusal) if self.ran == 0 => return Err(refusal),
                Err(_) => return Err(last),
            };
            let word = outcome.word();
            let (again, refusal) = match outcome {
                Outcome::Answered(response) => return Ok(response),
                Outcome::Failed(response) if !self.may_repeat(core, call) => return Ok(response),
                Outcome::Failed(_) => (true, Refusal::OutcomeUnknown),
                Outcome::Withheld => (call.left_ms() > 0, last),
                Outcome::TurnedAway | Outcome::OtherServer | Outcome::Unsent => {
                    let refusal = if self.ran == 0 {
                        balance::resting(core, call.pool).unwrap_or(Refusal::Rejected)
                    } else {
                        last
                    };
                    (self.may_move(core, call), refusal)
                }
                Outcome::Unknown => (self.may_repeat(core, call), Refusal::OutcomeUnknown),
                Outcome::Garbled => (self.may_repeat(core, call), Refusal::InvalidResponse),
                Outcome::Stalled => (true, Refusal::TimedOut),
                Outcome::TimedOut => (false, Refusal::TimedOut),
            };
            if !again {
                return Err(refusal);
            }
            last = refusal;
            log!(core.logger, Event::Retried,
                "request" => &call.id, "cause" => word, "server" => server.0);
            metrics::counter!("retries_total", "cause" => word).increment(1);
        }
    }

    /// Chooses the next server and sends the request there.
    async fn next(
        &mut self,
        core: &Arc<Core>,
        call: &Arc<Call>,
        resume_after: Option<u64>,
    ) -> Result<(Outcome, ServerId), Refusal> {
        let verdict = quarantine::admit(core, call, self.is_admitted).await?;
        self.is_suspect = verdict.crashes() > 0;
        self.is_admitted = self.is_suspect;
        let is_apart = verdict.crashes() >= APART;
        let running = balance::place(core, call, &self.tried, self.ran > 0, is_apart)?;
        let server = running.backend.server.id;
        self.tried.push(server);
        note(core, call, &running, self.ran + self.not_run);
        let outcome = send::send(core, call, running, self, resume_after).await;
        match outcome {
            Outcome::TurnedAway | Outcome::OtherServer | Outcome::Unsent | Outcome::Withheld => {
                // What was not offered to a server uses up none of its tries.
                self.not_run += u32::from(!matches!(outcome, Outcome::Withheld));
                // One that may have run elsewhere was not charged for this server.
                if self.ran == 0 {
                    balance::take_back(core, call);
                }
            }
            _ => {
                self.ran += 1;
                self.is_admitted = false;
            }
        }
        Ok((outcome, server))
    }

    /// As these, once the last server asked has run the request.
    fn after_run(&self) -> Self {
        Self {
            ran: self.ran + 1,
            is_admitted: false,
            ..self.clone()
        }
    }

    /// Whether the request may be sent once more after it may have run.
    pub(crate) fn may_repeat(&self, core: &Core, call: &Call) -> bool {
        self.has_another(call) && call.left_ms() > 0 && core.retry_budgets.try_withdraw(call.pool)
    }

    /// Whether another server may run the request besides those that may have.
    pub(crate) fn has_another(&self, call: &Call) -> bool {
        call.route.kind.is_retryable() && self.ran < call.route.max_attempts
    }

    /// Whether another server may be asked for want of an answer: not with a second copy of a
    /// request under suspicion.
    pub(crate) fn may_stall(&self, call: &Call) -> bool {
        self.has_another(call) && !self.is_suspect
    }

    /// When another server is asked for want of an answer; `None` if none may be.
    /// It is called while the last server asked is not yet counted.
    fn stall(&self, call: &Call) -> Option<Instant> {
        let is_last = !call.route.kind.is_retryable() || self.ran + 1 >= call.route.max_attempts;
        if is_last || self.is_suspect {
            return None;
        }
        let hundredths = if call.route.kind.is_stream() {
            STREAM_STALL
        } else {
            STALL
        };
        let ms = call.route.objective_ms * hundredths / 100;
        Some(clock::after(Instant::now(), ms))
    }

    /// Whether the request may be sent once more after a server did not run it.
    fn may_move(&self, core: &Core, call: &Call) -> bool {
        let may = self.not_run < MOST_UNSENT && call.left_ms() > 0;
        may && core.retry_budgets.try_withdraw(call.pool)
    }
}

/// Answers a request, or refuses it truthfully.
pub(crate) async fn run(
    core: &Arc<Core>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Refusal> {
    core.retry_budgets.deposit(call.pool);
    let mut trials = Trials::default();
    trials.run(core, call, None, Refusal::NoServer).await
}

fn note(core: &Core, call: &Call, running: &InFlight, attempt: u32) {
    log!(core.logger, Event::Routed,
        "request" => &call.id,
        "attempt" => attempt,
        "customer" => call.customer_name(),
        "route" => &call.route.name,
        "server" => &running.backend.server.name,
        "unread" => running.queued_tokens(),
        "uncached" => running.prompt_tokens,
        "view_age_ms" => core.view.age_ms(),
        "elapsed_ms" => clock::between_ms(call.received_at, Instant::now()));
}
