//! Accounts of all customers of a sidecar.

use std::collections::HashMap;

use mulberryyoke_model::CustomerId;
use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::order::{Order, SortKey};
use super::{Account, MAX_DEBT, UNITS_PER_TOKEN, URGENT_LEAD, VirtualService};

new_key_type! {
    /// Key of an [`Account`].
    pub struct AccountKey;
}

/// Accounts by customer, and the service order of those with runnable requests.
#[derive(Clone, Debug)]
pub struct Ledger {
    seed: u64,
    pub(super) accounts: SlotMap<AccountKey, Account>,
    by_customer: HashMap<CustomerId, AccountKey>,
    shares: HashMap<CustomerId, u32>,
    pub(super) order: Order,
    pub(super) pool_size: u32,
    /// Whether any charge has been made since the last report.
    pub(super) has_charged: bool,
    /// Highest virtual service at which a customer was served. Lower bound for newly
    /// backlogged customers while no other is backlogged.
    last_served: VirtualService,
}

impl Ledger {
    /// Creates an empty ledger. The seed determines the order of customers with
    /// equal virtual service.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            accounts: SlotMap::with_key(),
            by_customer: HashMap::new(),
            shares: HashMap::new(),
            order: Order::default(),
            pool_size: 1,
            has_charged: false,
            last_served: 0,
        }
    }

    /// Returns the account of a customer, opening one if needed.
    pub fn get_or_open(&mut self, customer: CustomerId) -> AccountKey {
        if let Some(key) = self.by_customer.get(&customer) {
            return *key;
        }
        let share = self.shares.get(&customer).copied().unwrap_or(1);
        let account = Account::new(customer, share, tie_breaker(self.seed, customer));
        let key = self.accounts.insert(account);
        self.by_customer.insert(customer, key);
        key
    }

    /// Returns the account of a customer, if there is one.
    #[must_use]
    pub fn find(&self, customer: CustomerId) -> Option<AccountKey> {
        self.by_customer.get(&customer).copied()
    }

    /// Returns an account.
    ///
    /// # Panics
    ///
    /// If the account is closed.
    #[must_use]
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[key]
    }

    /// Iterates over all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (AccountKey, &Account)> {
        self.accounts.iter()
    }

    /// Number of customers with runnable requests.
    #[must_use]
    pub fn backlogged(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn is_backlogged(&self) -> bool {
        !self.order.is_empty()
    }

    /// Current virtual service of a customer.
    #[must_use]
    pub fn virtual_service(&self, key: AccountKey) -> VirtualService {
        self.accounts[key].virtual_service(self.pool_size)
    }

    /// Changes an account and updates its position in the service order.
    pub(crate) fn update<T>(
        &mut self,
        key: AccountKey,
        change: impl FnOnce(&mut Account) -> T,
    ) -> T {
        let account = &mut self.accounts[key];
        let result = change(account);
        let old = account.sort_key;
        let runnable = account.runnable() > 0;
        let new = runnable.then(|| SortKey {
            virtual_service: account.virtual_service(self.pool_size),
            tie_breaker: account.tie_breaker,
            urgent: account.is_urgent(),
        });
        account.sort_key = new;
        self.order.replace(key, old, new);
        result
    }

    /// Lowest virtual service of all backlogged customers, or the highest at which a
    /// customer was served if there are none.
    pub(crate) fn floor(&self) -> VirtualService {
        self.order.floor().unwrap_or(self.last_served)
    }

    /// Raises the virtual service of a customer that was not backlogged to `floor`,
    /// so that idle customers accumulate no claim, and limits its debt to
    /// [`MAX_DEBT`].
    pub(crate) fn lift_to(&mut self, key: AccountKey, floor: VirtualService) {
        let account = &mut self.accounts[key];
        if account.sort_key.is_some() {
            return;
        }
        let ahead = account.virtual_service(self.pool_size) - floor;
        if ahead < 0 {
            account.shift(-ahead);
        }
        let debt = account.virtual_service(1) - floor;
        if debt > MAX_DEBT * UNITS_PER_TOKEN {
            account.shift(MAX_DEBT * UNITS_PER_TOKEN - debt);
        }
    }

    /// Records that a customer is served next.
    pub(crate) fn mark_served(&mut self, key: AccountKey) {
        self.last_served = self.last_served.max(self.virtual_service(key));
    }

    /// Adds the expected cost of a request that got a reserved slot.
    pub(crate) fn reserve(&mut self, key: AccountKey, tokens: u64) {
        self.update(key, |account| account.reserved += tokens);
    }

    /// Reverts [`Self::reserve`].
    pub(crate) fn unreserve(&mut self, key: AccountKey, tokens: u64) {
        self.update(key, |account| account.reserved -= tokens);
    }

    /// Whether there are charges to report or backlogged customers, whose order needs
    /// the fleet-wide totals of the reply.
    pub(crate) fn needs_report(&self) -> bool {
        self.has_charged || self.is_backlogged()
    }

    /// Charges further tokens of a running request.
    pub(crate) fn charge(&mut self, key: AccountKey, tokens: u64) {
        self.has_charged = true;
        self.update(key, |account| account.charge(tokens));
    }

    /// Charges a starting request.
    pub(crate) fn start(&mut self, key: AccountKey, tokens: u64) {
        self.lift_to(key, self.floor());
        self.mark_served(key);
        self.has_charged = true;
        self.update(key, |account| {
            account.running += 1;
            account.charge(tokens);
        });
    }

    /// Returns the customer to serve next.
    #[must_use]
    pub fn next_customer(&self) -> Option<AccountKey> {
        self.order.first(URGENT_LEAD * UNITS_PER_TOKEN)
    }

    /// Sets the shares of the configured customers; all others get 1.
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
        let difference = before - self.virtual_service(key);
        self.update(key, |account| account.shift(difference));
    }

    /// Sets the number of servers in the pool.
    pub fn set_pool_size(&mut self, pool_size: u32) {
        if self.pool_size == pool_size.max(1) {
            return;
        }
        self.pool_size = pool_size.max(1);
        let keys: Vec<AccountKey> = self.order.keys().collect();
        for key in keys {
            self.update(key, |_| ());
        }
    }

    /// Asserts that the next customer leads the least served one by no more than
    /// [`URGENT_LEAD`].
    pub(crate) fn check_invariants(&self) {
        let (Some(first), Some(floor)) = (self.next_customer(), self.order.floor()) else {
            return;
        };
        let ahead = self.virtual_service(first) - floor;
        assert!(
            ahead <= URGENT_LEAD * UNITS_PER_TOKEN,
            "the lead of urgent requests exceeds its limit"
        );
    }

    /// Closes the accounts of customers that are no longer configured and have
    /// neither requests nor unacknowledged charges.
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

/// Lower half of a hash of the seed and the customer.
fn tie_breaker(seed: u64, customer: CustomerId) -> u32 {
    let hash = xxh3_64_with_seed(&customer.0.to_le_bytes(), seed);
    #[expect(clippy::cast_possible_truncation, reason = "only the low half is used")]
    let low = hash as u32;
    low
}
