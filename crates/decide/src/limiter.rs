//! Limits on queued requests and the `Retry-After` delay.

mod rate;

use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, Millis};

pub use rate::Rate;

/// Maximum `Retry-After` delay, in seconds.
pub const MAX_RETRY_AFTER_S: u32 = 120;

#[derive(Clone, Copy, Debug, Default)]
struct CustomerState {
    waiting: u32,
    share: u32,
    drain_rate: Rate,
}

/// Decision on a request that has to be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is counted and may be queued.
    Enqueue,
    /// The request is counted and may be queued; the last request of this other
    /// customer has to be evicted.
    Displace(CustomerId),
    /// The customer has reached its limit.
    CustomerFull,
    /// The router has reached its limit, and no other customer has more requests
    /// queued relative to its share.
    RouterFull,
}

/// Counts queued requests by customer and enforces the limits.
#[derive(Clone, Debug)]
pub struct Limiter {
    customers: HashMap<CustomerId, CustomerState>,
    total: u32,
    max_per_customer: u32,
    max_total: u32,
}

impl Limiter {
    /// Creates a limiter with the default limit of each customer and the total limit.
    #[must_use]
    pub fn new(max_per_customer: u32, max_total: u32) -> Self {
        Self {
            customers: HashMap::new(),
            total: 0,
            max_per_customer,
            max_total,
        }
    }

    /// Decides whether a request may be queued. `customer_limit` overrides the
    /// default limit.
    pub fn admit(
        &mut self,
        customer: CustomerId,
        share: u32,
        customer_limit: Option<u32>,
    ) -> Decision {
        let max_waiting = customer_limit.unwrap_or(self.max_per_customer);
        let state = self.customers.entry(customer).or_default();
        state.share = share.max(1);
        if state.waiting >= max_waiting {
            return Decision::CustomerFull;
        }
        if self.total < self.max_total {
            self.count(customer);
            return Decision::Enqueue;
        }
        match self.largest_backlog() {
            Some(largest) if largest != customer && self.exceeds(largest, customer) => {
                self.count(customer);
                Decision::Displace(largest)
            }
            _ => Decision::RouterFull,
        }
    }

    /// Counts an admitted request that is queued again, regardless of the limits.
    pub fn readmit(&mut self, customer: CustomerId, share: u32) {
        self.customers.entry(customer).or_default().share = share.max(1);
        self.count(customer);
    }

    fn count(&mut self, customer: CustomerId) {
        self.customers.entry(customer).or_default().waiting += 1;
        self.total += 1;
    }

    /// Returns the customer with the most queued requests relative to its share.
    fn largest_backlog(&self) -> Option<CustomerId> {
        let waiting = self.customers.iter().filter(|(_, state)| state.waiting > 0);
        let largest = waiting.max_by(|(customer_a, a), (customer_b, b)| {
            let left = u64::from(a.waiting) * u64::from(b.share);
            let right = u64::from(b.waiting) * u64::from(a.share);
            left.cmp(&right).then(customer_a.cmp(customer_b))
        });
        largest.map(|(&customer, _)| customer)
    }

    /// Whether `large` has more requests relative to its share than `small` would
    /// have with one more.
    fn exceeds(&self, large: CustomerId, small: CustomerId) -> bool {
        let (large, small) = (&self.customers[&large], &self.customers[&small]);
        u64::from(large.waiting) * u64::from(small.share)
            > u64::from(small.waiting + 1) * u64::from(large.share)
    }

    /// Removes a request from the count. `started` is whether it was dispatched to a
    /// server.
    ///
    /// # Panics
    ///
    /// If no request of the customer is counted, which is a bug.
    pub fn remove(&mut self, customer: CustomerId, started: bool, now: Millis) {
        let state = self.customers.get_mut(&customer);
        let state = state.filter(|state| state.waiting > 0);
        let state = state.expect("a removed request was counted before");
        state.waiting -= 1;
        self.total -= 1;
        if started {
            state.drain_rate.record(now);
        }
        if state.waiting == 0 && state.drain_rate.is_stale(now) {
            self.customers.remove(&customer);
        }
    }

    /// Estimated time until the customer's queue has drained, in whole seconds.
    #[must_use]
    pub fn retry_after(&self, customer: CustomerId, now: Millis) -> u32 {
        let Some(state) = self.customers.get(&customer) else {
            return 1;
        };
        let rate = state.drain_rate.per_second(now);
        if rate <= f64::EPSILON {
            return MAX_RETRY_AFTER_S.min(state.waiting.saturating_add(1));
        }
        let seconds = (f64::from(state.waiting) / rate).ceil();
        whole_seconds(seconds)
    }

    /// Number of queued requests of a customer.
    #[must_use]
    pub fn waiting(&self, customer: CustomerId) -> u32 {
        self.customers
            .get(&customer)
            .map_or(0, |state| state.waiting)
    }

    /// Total number of queued requests.
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
