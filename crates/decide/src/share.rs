//! What customers ask and are given, and the level to which capacity is shared out.

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, Millis};

/// Time in which what was asked or given counts half, in milliseconds.
const HALF_MS: f64 = 1_500.0;

/// Decayed sum of a steady flow, in seconds of the flow: the half-life over ln 2.
const SUM_S: f64 = HALF_MS / 1_000.0 / std::f64::consts::LN_2;

/// Most that a customer is held to have been given, as a part of what it may have:
/// what it got while there was enough for all is not held against it for longer
/// than about one second.
const MOST_GIVEN: f64 = 5.0;

/// Time that prompts wait at the servers on average from which there is less for customers than
/// the configured capacity, and from which there is what is given, in milliseconds.
///
/// The load that it answers: slots are short before reading is, so that tokens never reach the
/// configured capacity. Every customer then had enough by that measure, and a small one was
/// refused as often as one that asked a hundred times as much.
const SHORT_MS: (f64, f64) = (100.0, 250.0);

/// Steps in which the level is found; each halves the error.
const STEPS: u32 = 24;

/// Flow below which a customer is forgotten, in tokens.
const LEAST: f64 = 1.0;

/// Tokens that a customer asked and was given; those of long ago count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Tokens of its requests.
    pub requested: f64,
    /// Tokens of those that were sent to servers.
    pub granted: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    own: Flow,
    others: Flow,
}

impl Account {
    fn asked(&self) -> f64 {
        self.own.requested + self.others.requested
    }

    fn given(&self) -> f64 {
        self.own.granted + self.others.granted
    }
}

/// What all customers ask and are given.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: HashMap<CustomerId, Account>,
    at: Millis,
    /// Tokens up to which each customer may have what it asks; `None` when there
    /// is enough for all.
    level: Option<f64>,
    /// As `level`, when all that is in fact given is shared out.
    given_level: Option<f64>,
}

/// What a customer was given, beside what it may have.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// As a part of its portion of the capacity; 0 when there is enough for all.
    pub of_portion: f64,
    /// As a part of its portion of what is given in all.
    pub of_given: f64,
}

impl Shares {
    /// Notes what a request asks.
    pub fn record_request(&mut self, customer: CustomerId, tokens: u32) {
        self.accounts.entry(customer).or_default().own.requested += f64::from(tokens);
    }

    /// Notes that a request was sent to a server.
    pub fn record_grant(&mut self, customer: CustomerId, tokens: u32) {
        self.accounts.entry(customer).or_default().own.granted += f64::from(tokens);
    }

    /// Notes that a request was not run that was sent to a server just now.
    pub fn refund(&mut self, customer: CustomerId, tokens: u32) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.own.granted = (account.own.granted - f64::from(tokens)).max(0.0);
        }
    }

    /// What customers asked of and were given by this router.
    pub fn local(&self) -> impl Iterator<Item = (CustomerId, Flow)> {
        self.accounts
            .iter()
            .map(|(&customer, account)| (customer, account.own))
    }

    /// Takes in what customers asked of and were given by all other routers.
    pub fn set_remote(&mut self, others: &HashMap<CustomerId, Flow>) {
        for account in self.accounts.values_mut() {
            account.others = Flow::default();
        }
        for (&customer, &flow) in others {
            self.accounts.entry(customer).or_default().others = flow;
        }
    }

    /// Lets old flow count less and finds the level at which `capacity` tokens a
    /// second are shared out, or as many as are given where prompts wait for long at the
    /// servers, on average `wait_ms` milliseconds.
    pub fn rebalance(&mut self, capacity: f64, wait_ms: f64, now: Millis) {
        #[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
        let elapsed = now.saturating_sub(self.at) as f64;
        self.at = now;
        let left = (-elapsed / HALF_MS).exp2();
        for account in self.accounts.values_mut() {
            account.own.requested *= left;
            account.own.granted *= left;
        }
        self.accounts.retain(|_, account| account.asked() >= LEAST);
        let asked = self.accounts.values().map(Account::asked);
        let given: f64 = self.accounts.values().map(Account::given).sum();
        let capacity = scarce(capacity * SUM_S, given, wait_ms);
        self.level = level(&asked, capacity);
        self.given_level = level(&asked, given.max(capacity));
        // Where more is given than the configured capacity, that is what is shared out: cut off
        // at five of the smaller portions, a customer with five times another's looked much like
        // it (1.11 and 0.86 of what is given), and was given the more.
        let Some(level) = self.given_level.or(self.level) else {
            return;
        };
        for account in self.accounts.values_mut() {
            let most = MOST_GIVEN * level / account.given().max(LEAST);
            account.own.granted *= most.min(1.0);
        }
    }

    /// What a customer was given, beside what it may have.
    #[must_use]
    pub fn usage(&self, customer: CustomerId) -> Usage {
        let given = self.accounts.get(&customer).map_or(0.0, Account::given);
        let part = |level: Option<f64>| level.map_or(0.0, |level| given / level.max(LEAST));
        Usage {
            of_portion: part(self.level),
            of_given: part(self.given_level),
        }
    }
}

/// The capacity that there is while prompts wait so long: less than is configured where
/// something else than reading is short.
fn scarce(capacity: f64, given: f64, wait_ms: f64) -> f64 {
    let (none, all) = SHORT_MS;
    let part = ((wait_ms - none) / (all - none)).clamp(0.0, 1.0);
    if part == 0.0 || given >= capacity {
        return capacity;
    }
    // Without a configured capacity it is infinite.
    let capacity = capacity.min(given / part);
    given + (capacity - given) * (1.0 - part)
}

/// The level at which flows cut down to it add up to `capacity`; `None` if they
/// add up to less.
fn level(flows: &(impl Iterator<Item = f64> + Clone), capacity: f64) -> Option<f64> {
    if flows.clone().sum::<f64>() <= capacity {
        return None;
    }
    let (mut low, mut high) = (0.0, capacity);
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        let given: f64 = flows.clone().map(|flow| flow.min(middle)).sum();
        if given > capacity {
            high = middle;
        } else {
            low = middle;
        }
    }
    Some(high)
}
