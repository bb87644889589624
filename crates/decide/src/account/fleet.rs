//! Fleet-wide service counts.

use mulberryyoke_model::CustomerId;

use super::{AccountKey, Ledger, MAX_DEBT, UNITS_PER_TOKEN};

impl Ledger {
    /// Applies fleet-wide totals from the collector. While `settling`, they only
    /// become the baseline for later ones.
    pub(crate) fn apply_fleet_totals(
        &mut self,
        totals: impl Iterator<Item = (CustomerId, u64)>,
        settling: bool,
    ) {
        let mut updated = Vec::new();
        for (customer, tokens) in totals {
            let key = self.get_or_open(customer);
            self.update(key, |account| {
                account.apply_collector_total(tokens, settling);
            });
            updated.push(key);
        }
        for key in updated {
            self.cap_debt(key);
        }
    }

    /// Marks unacknowledged service as reported, and with `all` every account that
    /// was ever charged. Returns the accounts to report.
    pub(crate) fn mark_reported(&mut self, all: bool) -> Vec<AccountKey> {
        self.has_charged = false;
        let accounts = self.accounts.iter_mut();
        let due = accounts
            .filter(|(_, account)| account.unacknowledged() > 0 || all && account.charged > 0);
        let reported = due.map(|(key, account)| {
            account.reported = account.charged;
            key
        });
        reported.collect()
    }

    /// Marks an account's reported service as acknowledged and returns it, in
    /// tokens. Peers are assumed to have served the same amount: permanently while
    /// the collector settles, else until [`Self::catch_up`].
    pub(crate) fn acknowledge_reported(&mut self, key: AccountKey, settling: bool) -> Option<u64> {
        if !self.accounts.contains_key(key) {
            return None;
        }
        let pool_size = u64::from(self.pool_size);
        Some(self.update(key, |account| {
            let tokens = account.reported - account.acknowledged;
            account.acknowledged = account.reported;
            if settling {
                account.fleet_service += tokens.saturating_mul(pool_size);
            } else {
                account.awaiting_peers += tokens;
            }
            tokens
        }))
    }

    /// Ends the assumption about the peers' service: the fleet-wide totals include
    /// it by now.
    pub(crate) fn catch_up(&mut self, key: AccountKey, tokens: u64) {
        if self.accounts.contains_key(key) {
            self.update(key, |account| account.awaiting_peers -= tokens);
        }
    }

    /// Resets the baselines, since a new collector has different totals.
    pub(crate) fn change_collector(&mut self) {
        self.has_charged = true;
        for account in self.accounts.values_mut() {
            account.collector_total = None;
            account.reported = account.acknowledged;
        }
    }

    /// Limits the debt caused by late fleet-wide totals to [`MAX_DEBT`].
    fn cap_debt(&mut self, key: AccountKey) {
        let Some(least) = self.order.first(0) else {
            return;
        };
        if self.accounts[key].sort_key.is_none() {
            return;
        }
        let debt = self.accounts[key].virtual_service(1) - self.accounts[least].virtual_service(1);
        let excess = debt - MAX_DEBT * UNITS_PER_TOKEN;
        if excess > 0 {
            self.update(key, |account| account.shift(-excess));
        }
    }
}
