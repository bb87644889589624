//! Gateway configuration.

mod customer;
mod limits;
mod pool;
mod request_kind;
mod route;

use std::collections::HashMap;
use std::sync::Arc;

pub use self::customer::Customer;
pub use self::limits::Limits;
pub use self::pool::{ColdStart, Model, Pool};
pub use self::request_kind::RequestKind;
pub use self::route::{Route, Target};
use mulberryyoke_model::PoolId;

/// An immutable version of the configuration, indexed for lookups by requests.
#[derive(Debug)]
pub struct Config {
    version: u64,
    limits: Limits,
    has_customers: bool,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, Arc<Customer>>,
    pools: HashMap<PoolId, Pool>,
}

impl Config {
    /// Creates a configuration. If `customers` is `None`, requests need no key.
    #[must_use]
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        customers: Option<Vec<Customer>>,
        pools: Vec<Pool>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host_routes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            host_routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let has_customers = customers.is_some();
        let mut by_key = HashMap::new();
        for customer in customers.into_iter().flatten() {
            let customer = Arc::new(customer);
            for key in &customer.keys {
                by_key.insert(key.clone(), Arc::clone(&customer));
            }
        }
        let pools = pools.into_iter().map(|pool| (pool.id, pool)).collect();
        Self {
            version,
            limits,
            has_customers,
            by_host,
            by_key,
            pools,
        }
    }

    /// Version number, which only increases.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Limits of requests and connections.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether requests on routes that are not public need a key.
    #[must_use]
    pub const fn has_customers(&self) -> bool {
        self.has_customers
    }

    /// Finds the route of a host with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let name = host.rsplit_once(':').map_or(&*host, |(name, _)| name);
        let routes = self.by_host.get(&host).or_else(|| self.by_host.get(name))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the customer of a bearer key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    /// Finds a pool by ID.
    #[must_use]
    pub fn pool(&self, id: PoolId) -> Option<&Pool> {
        self.pools.get(&id)
    }
}
