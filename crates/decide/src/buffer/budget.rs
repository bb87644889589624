//! Budget of the bytes that a node holds for its callers.

use std::cmp::Reverse;
use std::collections::HashMap;

use mulberryyoke_model::{CustomerId, Millis};
use slotmap::SlotMap;

use super::account::Account;
use super::holder::Holder;
use super::{
    AccountKey, BUDGET_DIVISOR, Cause, Cut, REQUESTS_DIVISOR, SHORT_DIVISOR, STALL_MS,
    UNSHARED_DIVISOR,
};

/// Budget of the bytes that a node holds for its callers.
#[derive(Debug, Default)]
pub struct Budget {
    bytes: u64,
    accounts: SlotMap<AccountKey, Account>,
    holders: HashMap<Option<CustomerId>, Holder>,
    /// Bytes of request bodies.
    requests: u64,
    /// Bytes of responses that callers have not taken.
    responses: u64,
    /// Number of customers with responses that hold bytes.
    holding_customers: u64,
    /// Number of customers whose request bodies hold bytes.
    requesting_customers: u64,
}

impl Budget {
    /// Creates the budget of a process with this much memory, in megabytes.
    #[must_use]
    pub fn new(memory_mb: u64) -> Self {
        let mut budget = Self::default();
        budget.set_memory(memory_mb);
        budget
    }

    /// Changes the memory of the process, in megabytes.
    pub const fn set_memory(&mut self, memory_mb: u64) {
        self.bytes = memory_mb.saturating_mul(1 << 20) / BUDGET_DIVISOR;
    }

    /// The budget, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes held for request bodies.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Bytes held of responses that callers have not taken.
    #[must_use]
    pub const fn responses(&self) -> u64 {
        self.responses
    }

    /// Opens the account of a customer's request.
    pub fn open(&mut self, customer: Option<CustomerId>) -> AccountKey {
        self.holders.entry(customer).or_default().accounts += 1;
        self.accounts.insert(Account {
            customer,
            ..Account::default()
        })
    }

    /// Closes an account and releases what it holds.
    pub fn close(&mut self, key: AccountKey) {
        let Some(account) = self.accounts.get(key).copied() else {
            return;
        };
        self.release_request(key, account.request);
        self.release_response(key, account.response);
        self.accounts.remove(key);
        if let Some(holder) = self.holders.get_mut(&account.customer) {
            holder.accounts -= 1;
            if holder.accounts == 0 {
                self.holders.remove(&account.customer);
            }
        }
    }

    /// Returns whether a request body of a customer may take this many more bytes.
    #[must_use]
    pub fn admits_request(&self, customer: Option<CustomerId>, bytes: u64) -> bool {
        let max = self.bytes / REQUESTS_DIVISOR;
        let requests = self.requests.saturating_add(bytes);
        if requests > max || requests.saturating_add(self.responses) > self.bytes {
            return false;
        }
        if requests <= max / UNSHARED_DIVISOR {
            return true;
        }
        let own = self
            .holders
            .get(&customer)
            .map_or(0, |holder| holder.requests);
        let customers = self.requesting_customers + u64::from(own == 0);
        own.saturating_add(bytes) <= max / customers.max(1)
    }

    /// Records that a request body takes this many more bytes, if it may.
    pub fn hold_request(&mut self, key: AccountKey, bytes: u64) -> bool {
        let Some(account) = self.accounts.get_mut(key) else {
            return false;
        };
        let customer = account.customer;
        if !self.admits_request(customer, bytes) {
            return false;
        }
        self.accounts[key].request += bytes;
        let holder = self.holders.entry(customer).or_default();
        self.requesting_customers += u64::from(holder.requests == 0 && bytes > 0);
        holder.requests += bytes;
        self.requests += bytes;
        true
    }

    /// Records that this many bytes of a request body were released.
    pub fn release_request(&mut self, key: AccountKey, bytes: u64) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        let bytes = bytes.min(account.request);
        account.request -= bytes;
        let holder = self.holders.entry(account.customer).or_default();
        let had = holder.requests > 0;
        holder.requests -= bytes;
        self.requesting_customers -= u64::from(had && holder.requests == 0);
        self.requests -= bytes;
    }

    /// Records that a response is offered to its caller, who is cut from now on if it stalls.
    pub fn offer(&mut self, key: AccountKey, now: Millis) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.stall_deadline = Some(now.saturating_add(STALL_MS));
        }
    }

    /// Records that a response holds this many more bytes. Returns the callers to cut.
    pub fn hold(&mut self, key: AccountKey, bytes: u64, now: Millis) -> Vec<Cut> {
        let Some(account) = self.accounts.get_mut(key) else {
            return Vec::new();
        };
        if bytes == 0 {
            return Vec::new();
        }
        let is_new = account.response == 0;
        if is_new && account.stall_deadline.is_some() {
            account.stall_deadline = Some(now.saturating_add(STALL_MS));
        }
        account.response += bytes;
        let holder = self.holders.entry(account.customer).or_default();
        self.holding_customers += u64::from(holder.holding == 0);
        holder.holding += u32::from(is_new);
        holder.responses += bytes;
        self.responses += bytes;
        self.cut_excess()
    }

    /// Records that the caller took this many bytes of a response.
    pub fn take(&mut self, key: AccountKey, bytes: u64, now: Millis) {
        if bytes == 0 {
            return;
        }
        self.release_response(key, bytes);
        if let Some(account) = self.accounts.get_mut(key)
            && account.stall_deadline.is_some()
        {
            account.stall_deadline = Some(now.saturating_add(STALL_MS));
        }
    }

    /// Returns whether more of a response may be read from its server: any response while the
    /// budget is not short, else one below its share. One more customer than there are is
    /// counted, so that room is left for the next.
    #[must_use]
    pub fn may_read(&self, key: AccountKey) -> bool {
        let Some(account) = self.accounts.get(key) else {
            return true;
        };
        if account.response == 0 || self.responses < self.room() / SHORT_DIVISOR {
            return true;
        }
        account.response < self.share(account.customer, self.holding_customers + 1)
    }

    /// Cuts the callers that have taken nothing for too long.
    pub fn cut_stalled(&mut self, now: Millis) -> Vec<Cut> {
        let stalled = self.accounts.iter();
        let stalled = stalled.filter(|(_, account)| account.is_stalled(now));
        let stalled: Vec<AccountKey> = stalled.map(|(key, _)| key).collect();
        let cuts = stalled.into_iter();
        cuts.filter_map(|key| self.cut(key, Cause::Stalled))
            .collect()
    }

    /// Postpones all stall deadlines by the time in which this process could not run: callers
    /// could not take anything then.
    pub fn postpone(&mut self, ms: u64) {
        for deadline in self
            .accounts
            .values_mut()
            .flat_map(|a| &mut a.stall_deadline)
        {
            *deadline = deadline.saturating_add(ms);
        }
    }

    fn cut_excess(&mut self) -> Vec<Cut> {
        let mut cuts = Vec::new();
        while self.responses > self.room() {
            let Some(key) = self.largest() else { break };
            cuts.extend(self.cut(key, Cause::Exceeded));
        }
        cuts
    }

    /// The response that holds most of the customer that holds most; among equals, the one whose
    /// caller has taken nothing for longest.
    fn largest(&self) -> Option<AccountKey> {
        let held = |account: &Account| {
            let holder = self.holders.get(&account.customer);
            holder.map_or(0, |holder| holder.responses)
        };
        let holding = self.accounts.iter();
        let holding = holding.filter(|(_, account)| account.response > 0);
        let largest = holding.max_by_key(|(_, account)| {
            let deadline = account.stall_deadline.unwrap_or(Millis::MAX);
            (held(account), account.response, Reverse(deadline))
        });
        largest.map(|(key, _)| key)
    }

    /// Cuts a caller. Its account is closed, since what it holds is freed along with its
    /// connection.
    fn cut(&mut self, key: AccountKey, cause: Cause) -> Option<Cut> {
        let account = self.accounts.get(key).copied()?;
        let cut = Cut {
            account: key,
            cause,
            held: account.response,
            share: self.share(account.customer, self.holding_customers),
            total: self.requests + self.responses,
        };
        self.close(key);
        Some(cut)
    }

    /// Bytes that responses may hold.
    const fn room(&self) -> u64 {
        self.bytes.saturating_sub(self.requests)
    }

    /// Equal share of a customer's responses if `customers` hold bytes.
    fn share(&self, customer: Option<CustomerId>, customers: u64) -> u64 {
        let holding = self
            .holders
            .get(&customer)
            .map_or(0, |holder| holder.holding);
        self.room() / customers.max(1) / u64::from(holding.max(1))
    }

    fn release_response(&mut self, key: AccountKey, bytes: u64) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        let bytes = bytes.min(account.response);
        if bytes == 0 {
            return;
        }
        account.response -= bytes;
        let holder = self.holders.entry(account.customer).or_default();
        holder.responses -= bytes;
        holder.holding -= u32::from(account.response == 0);
        self.holding_customers -= u64::from(holder.holding == 0);
        self.responses -= bytes;
    }
}
