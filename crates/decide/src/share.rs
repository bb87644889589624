//! Max-min fair sharing of capacity among customers, by exponentially decayed token counts.

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, Millis};

/// Half-life of the token counts, in milliseconds.
const HALF_LIFE_MS: f64 = 1_500.0;

/// Decayed count of a steady flow, in seconds of the flow: the half-life over ln 2.
const DECAYED_S: f64 = HALF_LIFE_MS / 1_000.0 / std::f64::consts::LN_2;

/// Cap on the granted count, as a multiple of the fair share. Without it, what a customer got
/// while capacity was plentiful would count against it for much longer than a second.
const MAX_GRANTED: f64 = 5.0;

/// Mean wait of prompts at the servers, in milliseconds, at which the capacity starts to be taken
/// as lower than configured, and at which it is taken as equal to what is granted.
///
/// When servers run out of slots before tokens, the token count never reaches the configured
/// capacity. All customers would then appear to be within their fair share, and small ones would
/// be refused as often as large ones.
const SCARCITY_WAIT_MS: (f64, f64) = (100.0, 250.0);

/// Bisection steps for the fair share; each halves the error.
const STEPS: u32 = 24;

/// Token count below which a customer is removed.
const MIN_TOKENS: f64 = 1.0;

/// Decayed token counts of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Tokens of its requests.
    pub requested: f64,
    /// Tokens of its requests that were sent to servers.
    pub granted: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    local: Flow,
    remote: Flow,
}

impl Account {
    fn requested(&self) -> f64 {
        self.local.requested + self.remote.requested
    }

    fn granted(&self) -> f64 {
        self.local.granted + self.remote.granted
    }
}

/// Token counts of all customers, and the fair share computed from them.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: HashMap<CustomerId, Account>,
    updated_at: Millis,
    /// Fair share of the capacity, in tokens; `None` if the capacity is sufficient.
    fair_share: Option<f64>,
    /// As `fair_share`, but of the total granted tokens where they exceed the capacity.
    granted_share: Option<f64>,
}

/// Usage of a customer relative to its fair share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Ratio to its fair share of the capacity; 0 if the capacity is sufficient.
    pub of_portion: f64,
    /// As `of_portion`, but of the total granted tokens where they exceed the capacity.
    pub of_given: f64,
}

impl Usage {
    /// Whether the customer has got more than its fair share.
    #[must_use]
    pub fn is_over_share(self) -> bool {
        self.of_portion > 1.0
    }

    /// Time until the usage has decayed to the fair share, in milliseconds.
    #[must_use]
    pub fn decay_ms(self) -> f64 {
        HALF_LIFE_MS * self.of_portion.max(self.of_given).max(1.0).log2()
    }
}

impl Shares {
    /// Counts a request.
    pub fn record_request(&mut self, customer: CustomerId, tokens: u32) {
        self.accounts.entry(customer).or_default().local.requested += f64::from(tokens);
    }

    /// Counts a request that was sent to a server.
    pub fn record_grant(&mut self, customer: CustomerId, tokens: u32) {
        self.accounts.entry(customer).or_default().local.granted += f64::from(tokens);
    }

    /// Reverts a recent grant whose request was not run.
    pub fn refund(&mut self, customer: CustomerId, tokens: u32) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.local.granted = (account.local.granted - f64::from(tokens)).max(0.0);
        }
    }

    /// Returns the token counts of this router.
    pub fn local(&self) -> impl Iterator<Item = (CustomerId, Flow)> {
        self.accounts
            .iter()
            .map(|(&customer, account)| (customer, account.local))
    }

    /// Replaces the token counts of all other routers.
    pub fn set_remote(&mut self, remote: &HashMap<CustomerId, Flow>) {
        for account in self.accounts.values_mut() {
            account.remote = Flow::default();
        }
        for (&customer, &flow) in remote {
            self.accounts.entry(customer).or_default().remote = flow;
        }
    }

    /// Decays the token counts and recomputes the fair share of `capacity` tokens a second. The
    /// capacity is reduced if prompts wait long at the servers, `wait_ms` milliseconds on average.
    pub fn rebalance(&mut self, capacity: f64, wait_ms: f64, now: Millis) {
        #[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = now;
        let decay = (-elapsed / HALF_LIFE_MS).exp2();
        for account in self.accounts.values_mut() {
            account.local.requested *= decay;
            account.local.granted *= decay;
        }
        self.accounts
            .retain(|_, account| account.requested() >= MIN_TOKENS);
        let requested = self.accounts.values().map(Account::requested);
        let granted: f64 = self.accounts.values().map(Account::granted).sum();
        let capacity = effective_capacity(capacity * DECAYED_S, granted, wait_ms);
        self.fair_share = fair_share(&requested, capacity);
        self.granted_share = fair_share(&requested, granted.max(capacity));
        // The cap is relative to the larger share where more is granted than the capacity. A cap
        // relative to the smaller one would hide differences between customers above it.
        let Some(share) = self.granted_share.or(self.fair_share) else {
            return;
        };
        for account in self.accounts.values_mut() {
            let cap = MAX_GRANTED * share / account.granted().max(MIN_TOKENS);
            account.local.granted *= cap.min(1.0);
        }
    }

    /// Returns a customer's usage relative to its fair share.
    #[must_use]
    pub fn usage(&self, customer: CustomerId) -> Usage {
        let granted = self.accounts.get(&customer).map_or(0.0, Account::granted);
        let ratio = |share: Option<f64>| share.map_or(0.0, |share| granted / share.max(MIN_TOKENS));
        Usage {
            of_portion: ratio(self.fair_share),
            of_given: ratio(self.granted_share),
        }
    }
}

/// Returns the capacity, reduced towards what is granted if prompts wait long: a resource other
/// than tokens is then the bottleneck.
fn effective_capacity(capacity: f64, granted: f64, wait_ms: f64) -> f64 {
    let (none, all) = SCARCITY_WAIT_MS;
    let scarcity = ((wait_ms - none) / (all - none)).clamp(0.0, 1.0);
    if scarcity == 0.0 || granted >= capacity {
        return capacity;
    }
    // The capacity is infinite if none is configured.
    let capacity = capacity.min(granted / scarcity);
    granted + (capacity - granted) * (1.0 - scarcity)
}

/// Returns the level at which flows capped to it add up to `capacity`, or `None` if they add up
/// to less.
fn fair_share(flows: &(impl Iterator<Item = f64> + Clone), capacity: f64) -> Option<f64> {
    if flows.clone().sum::<f64>() <= capacity {
        return None;
    }
    let (mut low, mut high) = (0.0, capacity);
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        let total: f64 = flows.clone().map(|flow| flow.min(middle)).sum();
        if total > capacity {
            high = middle;
        } else {
            low = middle;
        }
    }
    Some(high)
}
