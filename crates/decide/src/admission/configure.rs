//! Accepted configuration, as far as it concerns one sidecar.

use std::collections::HashMap;

use mulberryyoke_model::{Config, CustomerId, Millis, Server, ServerId, State};

use super::Admission;

impl Admission {
    /// Takes over shares, the number of servers of the pool, and whether this
    /// server takes new work.
    pub fn configure(&mut self, config: &Config, pool: &str, now: Millis) {
        self.revision = config.revision;
        let shares = config.customers();
        let shares = shares.map(|customer| (CustomerId::of(&customer.name), customer.share));
        self.ledger.set_shares(shares.collect::<HashMap<_, _>>());
        self.ledger.prune();
        let servers = config.servers().filter(|server| server.pool == pool);
        let active = servers.filter(|server| server.state == State::Active);
        let reach = u32::try_from(active.count()).unwrap_or(u32::MAX);
        self.ledger.set_pool_size(reach);
        let id = self.setup.server;
        let own = config
            .servers()
            .find(|server| ServerId::of(&server.name) == id);
        self.apply_own(own, now);
    }

    fn apply_own(&mut self, own: Option<&Server>, now: Millis) {
        let Some(own) = own else {
            return;
        };
        self.slots = self.setup.slots.min(own.slots);
        let leaving = own.state != State::Active;
        if leaving != self.leaving {
            self.leaving = leaving;
            self.take_back_untold();
            self.woken.extend(self.links.keys());
        }
        self.expire(now);
        self.fill(now);
    }
}
