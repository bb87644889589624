//! Configuration updates.

use std::collections::HashMap;

use mulberryyoke_model::{Config, CustomerId, Millis, Server, ServerId, State};

use super::Admission;

impl Admission {
    /// Applies customer shares, the number of active servers in the pool, and the
    /// slots and state of this server.
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
        self.apply_server(own, now);
    }

    fn apply_server(&mut self, own: Option<&Server>, now: Millis) {
        let Some(own) = own else {
            return;
        };
        self.slots = self.setup.slots.min(own.slots);
        let draining = own.state != State::Active;
        if draining != self.draining {
            self.draining = draining;
            self.revoke_unsent_grants();
            self.ready_links.extend(self.links.keys());
        }
        self.expire_grants(now);
        self.grant_free_slots(now);
    }
}
