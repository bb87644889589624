//! All accounts of a sidecar.

use std::collections::HashMap;

use mulberryyoke_model::CustomerId;
use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::order::{Order, Rank};
use super::{Account, MAX_DEBT, SCALE, URGENT_LEAD, VirtualService};

new_key_type! {
    /// Key of an [`Account`].
    pub struct AccountKey;
}

/// Accounts by customer, and the order of those with runnable requests.
#[derive(Clone, Debug)]
pub struct Ledger {
    seed: u64,
    pub(super) accounts: SlotMap<AccountKey, Account>,
    by_customer: HashMap<CustomerId, AccountKey>,
    shares: HashMap<CustomerId, u32>,
    pub(super) order: Order,
    pub(super) reach: u32,
    /// Whether anything was charged since the last report.
    pub(super) has_charged: bool,
    /// Virtual service of the customer served last; newcomers start no lower.
    last: VirtualService,
}

impl Ledger {
    /// An empty ledger. The seed orders customers that are served alike.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            accounts: SlotMap::with_key(),
            by_customer: HashMap::new(),
            shares: HashMap::new(),
            order: Order::default(),
            reach: 1,
            has_charged: false,
            last: 0,
        }
    }

    /// The account of a customer, opened when new.
    pub fn get_or_open(&mut self, customer: CustomerId) -> AccountKey {
        if let Some(key) = self.by_customer.get(&customer) {
            return *key;
        }
        let share = self.shares.get(&customer).copied().unwrap_or(1);
        let account = Account::open(customer, share, tie(self.seed, customer));
        let key = self.accounts.insert(account);
        self.by_customer.insert(customer, key);
        key
    }

    /// The account of a customer, if there is one.
    #[must_use]
    pub fn find(&self, customer: CustomerId) -> Option<AccountKey> {
        self.by_customer.get(&customer).copied()
    }

    /// An account.
    ///
    /// # Panics
    ///
    /// When the account is closed.
    #[must_use]
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key]
    }

    /// Every account.
    pub fn accounts(&self) -> impl Iterator<Item = (AccountKey, &Account)> {
        self.accounts.iter()
    }

    /// Customers with runnable requests.
    #[must_use]
    pub fn backlogged(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn is_backlogged(&self) -> bool {
        !self.order.is_empty()
    }

    /// Virtual service of a customer now.
    #[must_use]
    pub fn virtual_service(&self, key: AccountKey) -> VirtualService {
        self.accounts[key].virtual_service(self.reach)
    }

    /// Changes an account and puts it at its place in the order.
    pub(crate) fn update<T>(
        &mut self,
        key: AccountKey,
        change: impl FnOnce(&mut Account) -> T,
    ) -> T {
        let account = &mut self.accounts[key];
        let result = change(account);
        let old = account.rank;
        let runnable = account.runnable() > 0;
        let new = runnable.then(|| Rank {
            virtual_service: account.virtual_service(self.reach),
            tie: account.tie,
            urgent: account.is_urgent(),
        });
        account.rank = new;
        self.order.replace(key, old, new);
        result
    }

    /// The least virtual service of the customers backlogged, or, with none, that
    /// of the customer served last.
    pub(crate) fn floor(&self) -> VirtualService {
        self.order.floor().unwrap_or(self.last)
    }

    /// Lifts a customer that was not backlogged to a floor, so that no idle time is
    /// banked. What it is ahead of it by more than the largest debt is forgiven.
    pub(crate) fn lift_to(&mut self, key: AccountKey, floor: VirtualService) {
        let account = &mut self.accounts[key];
        if account.rank.is_some() {
            return;
        }
        let ahead = account.virtual_service(self.reach) - floor;
        if ahead < 0 {
            account.shift(-ahead);
        }
        let debt = account.virtual_service(1) - floor;
        if debt > MAX_DEBT * SCALE {
            account.shift(MAX_DEBT * SCALE - debt);
        }
    }

    /// Notes that a customer is served next.
    pub(crate) fn mark_served(&mut self, key: AccountKey) {
        self.last = self.last.max(self.virtual_service(key));
    }

    /// Counts the expected cost of a request that has a slot reserved.
    pub(crate) fn reserve(&mut self, key: AccountKey, tokens: u64) {
        self.update(key, |account| account.reserved += tokens);
    }

    /// Takes back what [`Self::reserve`] counted.
    pub(crate) fn unreserve(&mut self, key: AccountKey, tokens: u64) {
        self.update(key, |account| account.reserved -= tokens);
    }

    /// Whether a report has something to tell or to ask for.
    pub(crate) fn needs_report(&self) -> bool {
        self.has_charged || self.is_backlogged()
    }

    /// Charges tokens beyond the estimate.
    pub(crate) fn charge(&mut self, key: AccountKey, tokens: u64) {
        self.has_charged = true;
        self.update(key, |account| account.charge(tokens));
    }

    /// Charges the start of a request.
    pub(crate) fn start(&mut self, key: AccountKey, tokens: u64) {
        self.lift_to(key, self.floor());
        self.mark_served(key);
        self.has_charged = true;
        self.update(key, |account| {
            account.running += 1;
            account.charge(tokens);
        });
    }

    /// The customer to serve next.
    #[must_use]
    pub fn next_customer(&self) -> Option<AccountKey> {
        self.order.first(URGENT_LEAD * SCALE)
    }

    /// Takes over the shares of configured customers.
    pub fn set_shares(&mut self, shares: HashMap<CustomerId, u32>) {
        self.shares = shares;
        let keys: Vec<AccountKey> = self.accounts.keys().collect();
        for key in keys {
            self.set_share(key);
        }
    }

    fn set_share(&mut self, key: AccountKey) {
        let customer = self.accounts[key].customer;
        let share = self.shares.get(&customer).copied().unwrap_or(1).max(1);
        let before = self.virtual_service(key);
        self.update(key, |account| account.share = share);
        let moved = before - self.virtual_service(key);
        self.update(key, |account| account.shift(moved));
    }

    /// Sets the number of servers that serve the pool.
    pub fn set_pool_size(&mut self, reach: u32) {
        if self.reach == reach.max(1) {
            return;
        }
        self.reach = reach.max(1);
        let keys: Vec<AccountKey> = self.order.keys().collect();
        for key in keys {
            self.update(key, |_| ());
        }
    }

    /// Asserts that the customer served next is behind the least served one by no
    /// more than the lead of urgent work.
    pub(crate) fn check_invariants(&self) {
        let (Some(first), Some(floor)) = (self.next_customer(), self.order.floor()) else {
            return;
        };
        let ahead = self.virtual_service(first) - floor;
        assert!(ahead <= URGENT_LEAD * SCALE, "urgent work leads too far");
    }

    /// Closes accounts of customers that are no longer configured and have
    /// neither requests nor uncounted service.
    pub(crate) fn prune(&mut self) {
        let shares = &self.shares;
        let idle = |account: &Account| account.is_idle() && !shares.contains_key(&account.customer);
        let by_customer = &mut self.by_customer;
        self.accounts.retain(|_, account| {
            let keep = !idle(account);
            if !keep {
                by_customer.remove(&account.customer);
            }
            keep
        });
    }
}

/// The low half of a hash of both.
fn tie(seed: u64, customer: CustomerId) -> u32 {
    let hash = xxh3_64_with_seed(&customer.0.to_le_bytes(), seed);
    #[expect(clippy::cast_possible_truncation, reason = "the low half is meant")]
    let low = hash as u32;
    low
}
