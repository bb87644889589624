//! Requests arriving, streaming and ending.

use mulberryyoke_model::{Attempt, Incarnation, KeyId, Kind, Millis, Outcome, Ticket};

use super::running::Running;
use super::{Admission, Arrival, Ending};
use crate::account::{AccountKey, Charge};
use crate::key::Seen;

/// When to come back if the home record does not name the router yet, in
/// milliseconds.
const NAME_RETRY: Millis = 1_000;

impl Admission {
    /// A request arrived. Unless the answer is [`Arrival::Started`] it never runs
    /// here under this attempt.
    pub fn arrive(&mut self, ticket: &Ticket, now: Millis) -> Arrival {
        self.expire(now);
        let arrival = self.admit(ticket, now);
        if arrival == Arrival::Started {
            self.start(ticket, now);
        } else if let Some(grant) = self.own_grant(ticket) {
            self.release(grant);
        }
        self.fill(now);
        arrival
    }

    fn admit(&mut self, ticket: &Ticket, now: Millis) -> Arrival {
        if let Some(arrival) = self.refuse_attempt(ticket, now) {
            return arrival;
        }
        if let Some(arrival) = self.recall_key(ticket, now) {
            return arrival;
        }
        if self.is_draining() {
            return Arrival::Draining;
        }
        if self.own_grant(ticket).is_none() && !self.may_start() {
            return Arrival::Busy;
        }
        Arrival::Started
    }

    fn refuse_attempt(&self, ticket: &Ticket, now: Millis) -> Option<Arrival> {
        match self.attempts.record(ticket.attempt) {
            Some(Outcome::Running) => Some(Arrival::Running),
            Some(Outcome::Ran) => Some(Arrival::Ran),
            Some(Outcome::Cut) => Some(Arrival::Cut),
            Some(_) => Some(Arrival::Tombstone),
            None if ticket.deadline <= now => Some(Arrival::Late),
            None => None,
        }
    }

    fn recall_key(&mut self, ticket: &Ticket, now: Millis) -> Option<Arrival> {
        let key = ticket.key?;
        let origin = ticket.attempt.origin;
        self.routers.see(origin, now);
        match self.keys.seen(key, now) {
            Seen::Unknown => self.refuse_key(origin, now),
            Seen::Doubtful if self.is_proved_new(ticket, now) => self.refuse_key(origin, now),
            Seen::Doubtful => Some(Arrival::Doubtful),
            Seen::Barred => Some(Arrival::Tombstone),
            Seen::Running => Some(Arrival::Running),
            Seen::Ran(Some(answer)) => Some(Arrival::Replay(answer)),
            Seen::Ran(None) => Some(Arrival::Ran),
            Seen::Cut => Some(Arrival::Cut),
        }
    }

    /// Whether a key that an earlier life may have seen is surely new: its router
    /// made it for this one request and has told all keys that it sent before.
    fn is_proved_new(&self, ticket: &Ticket, now: Millis) -> bool {
        let own = KeyId::of(ticket.customer, &ticket.attempt.request_id());
        let origin = ticket.attempt.origin;
        ticket.key == Some(own)
            && !self.keys.is_known(own)
            && !self.keys.is_doubtful_for(origin, now)
    }

    /// Refuses a new key that could not be remembered, by this life or the next.
    fn refuse_key(&mut self, origin: Incarnation, now: Millis) -> Option<Arrival> {
        if !self.routers.contains(origin) {
            return Some(Arrival::Full(now + NAME_RETRY));
        }
        self.keys.room_at(now).map(Arrival::Full)
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
            self.keys.note(key, Seen::Running, now);
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
    pub fn end(&mut self, attempt: Attempt, ending: Ending, now: Millis) -> u64 {
        let Some(running) = self.running.remove(&attempt) else {
            return 0;
        };
        let surplus = running.charge.settle();
        let tokens = running.charge.metered();
        let is_model = self.setup.kind == Kind::Model;
        let teaches = is_model && tokens > 0 && matches!(ending, Ending::Whole(_));
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

    fn remember(&mut self, attempt: Attempt, running: &Running, ending: Ending, now: Millis) {
        let outcome = match ending {
            Ending::Whole(_) => Outcome::Ran,
            Ending::Cut => Outcome::Cut,
            Ending::Unsent => Outcome::NotRun,
        };
        self.attempts.end(attempt, outcome, now);
        let Some(key) = running.key else {
            return;
        };
        self.routers.see(attempt.origin, now);
        match ending {
            Ending::Whole(answer) => self.keys.note(key, Seen::Ran(answer.map(Into::into)), now),
            Ending::Cut => self.keys.note(key, Seen::Cut, now),
            Ending::Unsent => self.keys.forget(key),
        }
    }
}
