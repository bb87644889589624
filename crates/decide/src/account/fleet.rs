//! Service counted by the fleet.

use mulberryyoke_model::CustomerId;

use super::{AccountKey, Ledger, MAX_DEBT, SCALE};

impl Ledger {
    /// Takes over fleet-wide counts from the collector. With `settling` set they
    /// only set where later ones count from.
    pub(crate) fn apply_fleet_totals(
        &mut self,
        fleet: impl Iterator<Item = (CustomerId, u64)>,
        settling: bool,
    ) {
        let mut told = Vec::new();
        for (customer, tokens) in fleet {
            let key = self.get_or_open(customer);
            self.update(key, |account| account.tell(tokens, settling));
            told.push(key);
        }
        for key in told {
            self.forgive(key);
        }
    }

    /// Notes that uncounted service goes into a report, with `all` every account
    /// that ever had service. Returns the accounts.
    pub(crate) fn mark_reported(&mut self, all: bool) -> Vec<AccountKey> {
        self.has_charged = false;
        let accounts = self.accounts.iter_mut();
        let told =
            accounts.filter(|(_, account)| account.uncounted() > 0 || all && account.charged > 0);
        let reported = told.map(|(key, account)| {
            account.reported = account.charged;
            key
        });
        reported.collect()
    }

    /// The reported service of an account is counted. Returns it, in tokens. While
    /// the collector settles, the peers are taken to have given as much; else that
    /// is assumed until [`Self::catch_up`].
    pub(crate) fn count_reported(&mut self, key: AccountKey, settling: bool) -> Option<u64> {
        if !self.accounts.contains_key(key) {
            return None;
        }
        let reach = u64::from(self.reach);
        Some(self.update(key, |account| {
            let tokens = account.reported - account.counted;
            account.counted = account.reported;
            if settling {
                account.fleet += tokens.saturating_mul(reach);
            } else {
                account.recent += tokens;
            }
            tokens
        }))
    }

    /// Peers' service of the same time is in the fleet-wide counts by now.
    pub(crate) fn catch_up(&mut self, key: AccountKey, tokens: u64) {
        if self.accounts.contains_key(key) {
            self.update(key, |account| account.recent -= tokens);
        }
    }

    /// Another collector counts from elsewhere.
    pub(crate) fn change_collector(&mut self) {
        self.has_charged = true;
        for account in self.accounts.values_mut() {
            account.told = None;
            account.reported = account.counted;
        }
    }

    /// Bounds how far a fleet-wide count learnt late sets a customer behind.
    fn forgive(&mut self, key: AccountKey) {
        let Some(least) = self.order.first(0) else {
            return;
        };
        if self.accounts[key].rank.is_none() {
            return;
        }
        let debt = self.accounts[key].virtual_service(1) - self.accounts[least].virtual_service(1);
        let excess = debt - MAX_DEBT * SCALE;
        if excess > 0 {
            self.update(key, |account| account.shift(-excess));
        }
    }
}
