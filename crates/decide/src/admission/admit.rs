//! Requests arriving, streaming and ending.

use mulberryyoke_model::{Attempt, Incarnation, KeyId, Kind, Millis, Outcome, Ticket};

use super::running::Running;
use super::{Admission, Decision, Termination};
use crate::account::{AccountKey, Charge};
use crate::key::KeyState;

/// When to come back if the home record does not name the router yet, in
/// milliseconds.
const NAME_RETRY: Millis = 1_000;

impl Admission {
    /// A request arrived. Unless the answer is [`Decision::Started`] it never runs
    /// here under this attempt.
    pub fn admit(&mut self, ticket: &Ticket, now: Millis) -> Decision {
        self.expire(now);
        let arrival = self.decide(ticket, now);
        if arrival == Decision::Started {
            self.start(ticket, now);
        } else if let Some(grant) = self.own_grant(ticket) {
            self.release(grant);
        }
        self.fill(now);
        arrival
    }

    fn decide(&mut self, ticket: &Ticket, now: Millis) -> Decision {
        if let Some(arrival) = self.refuse_attempt(ticket, now) {
            return arrival;
        }
        if let Some(arrival) = self.recall_key(ticket, now) {
            return arrival;
        }
        if self.is_draining() {
            return Decision::Draining;
        }
        if self.own_grant(ticket).is_none() && !self.may_start() {
            return Decision::Busy;
        }
        Decision::Started
    }

    fn refuse_attempt(&self, ticket: &Ticket, now: Millis) -> Option<Decision> {
        match self.attempts.record(ticket.attempt) {
            Some(Outcome::Running) => Some(Decision::Running),
            Some(Outcome::Ran) => Some(Decision::Completed),
            Some(Outcome::Cut) => Some(Decision::Interrupted),
            Some(_) => Some(Decision::Withdrawn),
            None if ticket.deadline <= now => Some(Decision::DeadlineExceeded),
            None => None,
        }
    }

    fn recall_key(&mut self, ticket: &Ticket, now: Millis) -> Option<Decision> {
        let key = ticket.key?;
        let origin = ticket.attempt.origin;
        self.routers.touch(origin, now);
        match self.keys.state(key, now) {
            KeyState::Unknown => self.refuse_key(origin, now),
            KeyState::Indeterminate if self.is_proved_new(ticket, now) => {
                self.refuse_key(origin, now)
            }
            KeyState::Indeterminate => Some(Decision::Indeterminate),
            KeyState::Withdrawn => Some(Decision::Withdrawn),
            KeyState::Running => Some(Decision::Running),
            KeyState::Completed(Some(answer)) => Some(Decision::Replay(answer)),
            KeyState::Completed(None) => Some(Decision::Completed),
            KeyState::Interrupted => Some(Decision::Interrupted),
        }
    }

    /// Whether a key that an earlier life may have seen is surely new: its router
    /// made it for this one request and has told all keys that it sent before.
    fn is_proved_new(&self, ticket: &Ticket, now: Millis) -> bool {
        let own = KeyId::of(ticket.customer, &ticket.attempt.request_id());
        let origin = ticket.attempt.origin;
        ticket.key == Some(own)
            && !self.keys.contains(own)
            && !self.keys.is_recovering_for(origin, now)
    }

    /// Refuses a new key that could not be remembered, by this life or the next.
    fn refuse_key(&mut self, origin: Incarnation, now: Millis) -> Option<Decision> {
        if !self.routers.contains(origin) {
            return Some(Decision::RetryAt(now + NAME_RETRY));
        }
        self.keys.full_until(now).map(Decision::RetryAt)
    }

    /// The reserved slot that a ticket may use.
    fn own_grant(&self, ticket: &Ticket) -> Option<u64> {
        let grant = ticket.grant?;
        let reservation = self.reservations.get(&grant)?;
        let link = self.links.get(reservation.link)?;
        let customer = self.ledger.account(reservation.account).customer;
        let is_own = link.origin == Some(ticket.attempt.origin) && customer == ticket.customer;
        is_own.then_some(grant)
    }

    fn start(&mut self, ticket: &Ticket, now: Millis) {
        if let Some(grant) = self.own_grant(ticket) {
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

    /// Expected cost of a request, in tokens.
    pub(crate) fn estimate(&self, account: AccountKey, cost: u32) -> u64 {
        match self.setup.kind {
            Kind::Model => self.ledger.account(account).cost_correction.correct(cost),
            Kind::Service => u64::from(cost.max(1)),
        }
    }

    /// Tokens of a running request streamed.
    pub fn meter(&mut self, attempt: Attempt, tokens: u64) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        let more = running.charge.meter(tokens);
        if more > 0 {
            self.ledger.charge(running.account, more);
        }
    }

    /// A running request ended; its charge is settled. Returns its tokens.
    pub fn end(&mut self, attempt: Attempt, ending: Termination, now: Millis) -> u64 {
        let Some(running) = self.running.remove(&attempt) else {
            return 0;
        };
        let surplus = running.charge.settle();
        let tokens = running.charge.metered();
        let is_model = self.setup.kind == Kind::Model;
        let teaches = is_model && tokens > 0 && matches!(ending, Termination::Complete(_));
        self.ledger.update(running.account, |account| {
            account.running -= 1;
            account.refund(surplus);
            if teaches {
                account.cost_correction.observe(running.cost, tokens);
            }
        });
        self.remember(attempt, &running, ending, now);
        self.expire(now);
        self.fill(now);
        tokens
    }

    fn remember(&mut self, attempt: Attempt, running: &Running, ending: Termination, now: Millis) {
        let outcome = match ending {
            Termination::Complete(_) => Outcome::Ran,
            Termination::Interrupted => Outcome::Cut,
            Termination::Unsent => Outcome::NotRun,
        };
        self.attempts.end(attempt, outcome, now);
        let Some(key) = running.key else {
            return;
        };
        self.routers.touch(attempt.origin, now);
        match ending {
            Termination::Complete(answer) => {
                self.keys
                    .record(key, KeyState::Completed(answer.map(Into::into)), now);
            }
            Termination::Interrupted => self.keys.record(key, KeyState::Interrupted, now),
            Termination::Unsent => self.keys.remove(key),
        }
    }
}
