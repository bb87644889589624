//! Bounds on waiting requests and the time after which to come back.

mod rate;

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, Millis};

pub use rate::Rate;

/// Most seconds named to a caller as the time to come back.
pub const MAX_RETRY_AFTER_S: u32 = 120;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    waiting: u32,
    share: u32,
    drain: Rate,
}

/// What is to be done with a request that would wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may wait; it is counted.
    Enqueue,
    /// It may wait; it is counted, and this other customer's last request must go.
    Displace(CustomerId),
    /// The customer has as much waiting as it may.
    CustomerFull,
    /// The router has as much waiting as it may, and the customer has the most
    /// for its share.
    RouterFull,
}

/// Counts of waiting requests by customer, with their bounds.
#[derive(Clone, Debug)]
pub struct Limiter {
    accounts: HashMap<CustomerId, Account>,
    total: u32,
    per_customer: u32,
    most: u32,
}

impl Limiter {
    /// Bounds for one customer and for all together.
    #[must_use]
    pub fn new(per_customer: u32, most: u32) -> Self {
        Self {
            accounts: HashMap::new(),
            total: 0,
            per_customer,
            most,
        }
    }

    /// Decides on a request that would wait; `queue` is the customer's own
    /// bound, if it has one.
    pub fn admit(&mut self, customer: CustomerId, share: u32, queue: Option<u32>) -> Decision {
        let most = queue.unwrap_or(self.per_customer);
        let account = self.accounts.entry(customer).or_default();
        account.share = share.max(1);
        if account.waiting >= most {
            return Decision::CustomerFull;
        }
        if self.total < self.most {
            self.count(customer);
            return Decision::Enqueue;
        }
        match self.largest() {
            Some(largest) if largest != customer && self.exceeds(largest, customer) => {
                self.count(customer);
                Decision::Displace(largest)
            }
            _ => Decision::RouterFull,
        }
    }

    /// Counts a request that waits again after it was admitted before.
    pub fn readmit(&mut self, customer: CustomerId, share: u32) {
        self.accounts.entry(customer).or_default().share = share.max(1);
        self.count(customer);
    }

    fn count(&mut self, customer: CustomerId) {
        self.accounts.entry(customer).or_default().waiting += 1;
        self.total += 1;
    }

    /// The customer with the most waiting for its share.
    fn largest(&self) -> Option<CustomerId> {
        let waiting = self
            .accounts
            .iter()
            .filter(|(_, account)| account.waiting > 0);
        let largest = waiting.max_by(|(one, a), (other, b)| {
            let left = u64::from(a.waiting) * u64::from(b.share);
            let right = u64::from(b.waiting) * u64::from(a.share);
            left.cmp(&right).then(one.cmp(other))
        });
        largest.map(|(&customer, _)| customer)
    }

    /// Whether `large` has more for its share than `small` would have with one more.
    fn exceeds(&self, large: CustomerId, small: CustomerId) -> bool {
        let (large, small) = (&self.accounts[&large], &self.accounts[&small]);
        u64::from(large.waiting) * u64::from(small.share)
            > u64::from(small.waiting + 1) * u64::from(large.share)
    }

    /// Counts a request that waits no longer; `started` tells whether a server
    /// took it.
    ///
    /// # Panics
    ///
    /// When none was counted as waiting: each is counted once and leaves once.
    pub fn remove(&mut self, customer: CustomerId, started: bool, now: Millis) {
        let account = self.accounts.get_mut(&customer);
        let account = account.filter(|account| account.waiting > 0);
        let account = account.expect("a request that leaves was counted as waiting");
        account.waiting -= 1;
        self.total -= 1;
        if started {
            account.drain.count(now);
        }
        if account.waiting == 0 && account.drain.is_stale(now) {
            self.accounts.remove(&customer);
        }
    }

    /// Whole seconds after which the customer's queue should have drained.
    #[must_use]
    pub fn retry_after(&self, customer: CustomerId, now: Millis) -> u32 {
        let Some(account) = self.accounts.get(&customer) else {
            return 1;
        };
        let rate = account.drain.per_second(now);
        if rate <= f64::EPSILON {
            return MAX_RETRY_AFTER_S.min(account.waiting.saturating_add(1));
        }
        let seconds = (f64::from(account.waiting) / rate).ceil();
        whole_seconds(seconds)
    }

    /// Requests of a customer that wait.
    #[must_use]
    pub fn waiting(&self, customer: CustomerId) -> u32 {
        self.accounts
            .get(&customer)
            .map_or(0, |account| account.waiting)
    }

    /// Requests that wait in all.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }
}

fn whole_seconds(seconds: f64) -> u32 {
    let clamped = seconds.clamp(1.0, f64::from(MAX_RETRY_AFTER_S));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a small positive range"
    )]
    let whole = clamped as u32;
    whole
}
