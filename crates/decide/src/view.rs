//! Read-only index of the accepted configuration.

use std::collections::HashMap;
use std::sync::Arc;

use mulberryyoke_model::{
    Config, Customer, CustomerId, KeyHash, Kind, Object, Pool, PoolId, Revision, Route, Server,
    ServerId, State,
};

mod route;

use route::Table;

/// The accepted configuration at one revision, indexed for request processing.
/// Immutable: a new revision replaces the whole view.
#[derive(Debug, Default)]
pub struct View {
    revision: Revision,
    customers: HashMap<CustomerId, Customer>,
    keys: HashMap<KeyHash, CustomerId>,
    pools: HashMap<PoolId, Pool>,
    servers: HashMap<ServerId, Arc<Server>>,
    current: HashMap<PoolId, Vec<Arc<Server>>>,
    all: HashMap<PoolId, Vec<Arc<Server>>>,
    routes: Table,
}

impl View {
    /// Indexes a configuration.
    #[must_use]
    pub fn build(config: &Config) -> Self {
        let mut view = Self {
            revision: config.revision,
            ..Self::default()
        };
        for object in config.objects() {
            match object {
                Object::Customer(customer) => view.add_customer(customer),
                Object::Pool(pool) => view.add_pool(pool),
                Object::Server(server) => view.add_server(server),
            }
        }
        view.routes.sort();
        view
    }

    /// The highest revision in the configuration.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The customer that owns a bearer key.
    #[must_use]
    pub fn customer_by_key(&self, key: &KeyHash) -> Option<&Customer> {
        self.customer(*self.keys.get(key)?)
    }

    /// The customer with an ID.
    #[must_use]
    pub fn customer(&self, id: CustomerId) -> Option<&Customer> {
        self.customers.get(&id)
    }

    /// All customers, in no particular order.
    pub fn customers(&self) -> impl Iterator<Item = (CustomerId, &Customer)> {
        self.customers.iter().map(|(id, customer)| (*id, customer))
    }

    /// The pool of model engines that serves a model.
    #[must_use]
    pub fn model_pool(&self, name: &str) -> Option<&Pool> {
        let pool = self.pool(PoolId::of(name))?;
        (pool.kind == Kind::Model && pool.name == name).then_some(pool)
    }

    /// All pools of model engines, in no particular order.
    pub fn model_pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools().filter(|pool| pool.kind == Kind::Model)
    }

    /// All pools, in no particular order.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// The pool with an ID.
    #[must_use]
    pub fn pool(&self, id: PoolId) -> Option<&Pool> {
        self.pools.get(&id)
    }

    /// The plain service pool and route that match a method and a path without query.
    /// Prefixes match whole path segments; the longest match wins, then a route for
    /// exactly this method.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<(&Pool, &Route)> {
        let (pool, index) = self.routes.find(method, path)?;
        let pool = self.pool(pool)?;
        Some((pool, pool.routes.get(index)?))
    }

    /// Active and draining servers of a pool.
    #[must_use]
    pub fn servers(&self, pool: PoolId) -> &[Arc<Server>] {
        self.current.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// All servers of a pool, including removed ones within the retention time.
    #[must_use]
    pub fn all_servers(&self, pool: PoolId) -> &[Arc<Server>] {
        self.all.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// The server with an ID, in any state.
    #[must_use]
    pub fn server(&self, id: ServerId) -> Option<&Arc<Server>> {
        self.servers.get(&id)
    }

    fn add_customer(&mut self, customer: &Customer) {
        let id = CustomerId::of(&customer.name);
        for key in &customer.keys {
            // If two customers have the same key, the first by name owns it.
            self.keys.entry(key.clone()).or_insert(id);
        }
        self.customers.insert(id, customer.clone());
    }

    fn add_pool(&mut self, pool: &Pool) {
        let id = PoolId::of(&pool.name);
        if pool.kind == Kind::Service {
            self.routes.add(id, &pool.routes);
        }
        self.pools.insert(id, pool.clone());
    }

    fn add_server(&mut self, server: &Server) {
        let server = Arc::new(server.clone());
        let pool = PoolId::of(&server.pool);
        if server.state != State::Removed {
            let current = self.current.entry(pool).or_default();
            current.push(Arc::clone(&server));
        }
        let all = self.all.entry(pool).or_default();
        all.push(Arc::clone(&server));
        self.servers.insert(ServerId::of(&server.name), server);
    }
}
