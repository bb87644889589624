//! Admission, metering and completion of requests.

use mulberryyoke_model::{Attempt, Incarnation, KeyId, Kind, Millis, Outcome, Ticket};

use super::running::Running;
use super::{Admission, Decision, Termination};
use crate::account::{AccountKey, Charge};
use crate::key::KeyState;

/// Retry delay while the record in the key-value service does not list the
/// router, in milliseconds.
const REGISTRATION_RETRY_MS: Millis = 1_000;

impl Admission {
    /// Decides on an arriving request. Unless the result is [`Decision::Started`],
    /// this arrival does not run the request.
    pub fn admit(&mut self, ticket: &Ticket, now: Millis) -> Decision {
        self.expire_grants(now);
        let decision = self.decide(ticket, now);
        if decision == Decision::Started {
            self.start(ticket, now);
        } else if let Some(grant) = self.valid_grant(ticket) {
            self.release(grant);
        }
        self.grant_free_slots(now);
        decision
    }

    fn decide(&mut self, ticket: &Ticket, now: Millis) -> Decision {
        if let Some(decision) = self.check_attempt(ticket, now) {
            return decision;
        }
        if let Some(decision) = self.check_key(ticket, now) {
            return decision;
        }
        if self.is_draining() {
            return Decision::Draining;
        }
        if self.valid_grant(ticket).is_none() && !self.can_start() {
            return Decision::Busy;
        }
        Decision::Started
    }

    fn check_attempt(&self, ticket: &Ticket, now: Millis) -> Option<Decision> {
        match self.attempts.record(ticket.attempt) {
            Some(Outcome::Running) => Some(Decision::Running),
            Some(Outcome::Ran) => Some(Decision::Completed),
            Some(Outcome::Cut) => Some(Decision::Interrupted),
            Some(_) => Some(Decision::Withdrawn),
            None if ticket.deadline <= now => Some(Decision::DeadlineExceeded),
            None => None,
        }
    }

    fn check_key(&mut self, ticket: &Ticket, now: Millis) -> Option<Decision> {
        let key = ticket.key?;
        let origin = ticket.attempt.origin;
        self.routers.touch(origin, now);
        match self.keys.state(key, now) {
            KeyState::Unknown => self.check_new_key(origin, now),
            KeyState::Indeterminate if self.is_provably_new(ticket, now) => {
                self.check_new_key(origin, now)
            }
            KeyState::Indeterminate => Some(Decision::Indeterminate),
            KeyState::Withdrawn => Some(Decision::Withdrawn),
            KeyState::Running => Some(Decision::Running),
            KeyState::Completed(Some(response)) => Some(Decision::Replay(response)),
            KeyState::Completed(None) => Some(Decision::Completed),
            KeyState::Interrupted => Some(Decision::Interrupted),
        }
    }

    /// Whether a key cannot have run in an earlier incarnation: its router generated
    /// it for this request and has reported all keys sent earlier.
    fn is_provably_new(&self, ticket: &Ticket, now: Millis) -> bool {
        let own = KeyId::of(ticket.customer, &ticket.attempt.request_id());
        let origin = ticket.attempt.origin;
        ticket.key == Some(own)
            && !self.keys.contains(own)
            && !self.keys.is_recovering_for(origin, now)
    }

    /// Refuses a new key that this incarnation or the next could not store.
    fn check_new_key(&mut self, origin: Incarnation, now: Millis) -> Option<Decision> {
        if !self.routers.contains(origin) {
            return Some(Decision::RetryAt(now + REGISTRATION_RETRY_MS));
        }
        self.keys.full_until(now).map(Decision::RetryAt)
    }

    /// The grant of a ticket, if it is reserved for its router and customer.
    fn valid_grant(&self, ticket: &Ticket) -> Option<u64> {
        let grant = ticket.grant?;
        let reservation = self.reservations.get(&grant)?;
        let link = self.links.get(reservation.link)?;
        let customer = self.ledger.account(reservation.account).customer;
        let is_valid = link.origin == Some(ticket.attempt.origin) && customer == ticket.customer;
        is_valid.then_some(grant)
    }

    fn start(&mut self, ticket: &Ticket, now: Millis) {
        if let Some(grant) = self.valid_grant(ticket) {
            self.release(grant);
        }
        let account = self.ledger.get_or_open(ticket.customer);
        let estimate = self.estimate(account, ticket.cost);
        let charge = Charge::new(estimate);
        self.ledger.start(account, charge.charged());
        self.attempts.start(ticket.attempt);
        if let Some(key) = ticket.key {
            self.keys.record(key, KeyState::Running, now);
        }
        let running = Running {
            account,
            charge,
            cost: ticket.cost,
            key: ticket.key,
        };
        self.running.insert(ticket.attempt, running);
    }

    /// Estimated cost of a request, in tokens.
    pub(crate) fn estimate(&self, account: AccountKey, cost: u32) -> u64 {
        match self.setup.kind {
            Kind::Model => self.ledger.account(account).cost_correction.correct(cost),
            Kind::Service => u64::from(cost.max(1)),
        }
    }

    /// Meters tokens streamed by a running request.
    pub fn meter(&mut self, attempt: Attempt, tokens: u64) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        let excess = running.charge.meter(tokens);
        if excess > 0 {
            self.ledger.charge(running.account, excess);
        }
    }

    /// Ends a running request and settles its charge. Returns its metered tokens.
    pub fn end(&mut self, attempt: Attempt, termination: Termination, now: Millis) -> u64 {
        let Some(running) = self.running.remove(&attempt) else {
            return 0;
        };
        let surplus = running.charge.settle();
        let tokens = running.charge.metered();
        let is_model = self.setup.kind == Kind::Model;
        let updates_estimate =
            is_model && tokens > 0 && matches!(termination, Termination::Complete(_));
        self.ledger.update(running.account, |account| {
            account.running -= 1;
            account.refund(surplus);
            if updates_estimate {
                account.cost_correction.observe(running.cost, tokens);
            }
        });
        self.record_outcome(attempt, &running, termination, now);
        self.expire_grants(now);
        self.grant_free_slots(now);
        tokens
    }

    fn record_outcome(
        &mut self,
        attempt: Attempt,
        running: &Running,
        termination: Termination,
        now: Millis,
    ) {
        let outcome = match termination {
            Termination::Complete(_) => Outcome::Ran,
            Termination::Interrupted => Outcome::Cut,
            Termination::Unsent => Outcome::NotRun,
        };
        self.attempts.end(attempt, outcome, now);
        let Some(key) = running.key else {
            return;
        };
        self.routers.touch(attempt.origin, now);
        match termination {
            Termination::Complete(response) => {
                self.keys
                    .record(key, KeyState::Completed(response.map(Into::into)), now);
            }
            Termination::Interrupted => self.keys.record(key, KeyState::Interrupted, now),
            Termination::Unsent => self.keys.remove(key),
        }
    }
}
