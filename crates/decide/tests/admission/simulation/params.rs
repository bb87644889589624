//! Simulation parameters and the configuration built from them.

use mulberryyoke_model::{Change, Class, Config, Customer, Millis, Object, Server, State};

pub const POOL: &str = "llama";

/// Simulation parameters.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    pub seed: u64,
    pub servers: usize,
    pub slots: u32,
    pub routers: usize,
    pub customers: u32,
    /// Number of servers linked to each router.
    pub links_per_router: usize,
    /// Number of servers in the configuration of the pool.
    pub configured_servers: usize,
    /// Age of peer counts that is reported to the sidecars, in milliseconds.
    pub assumed_lag: Millis,
    /// Interval of the exchanges between routers, in milliseconds.
    pub exchange_interval: Millis,
    /// Mean number of faults per million events.
    pub faults_per_million: f64,
    /// Restricts faults to one kind.
    pub fault_kind: Option<u32>,
    /// Whether every other customer hints a tenth of its actual cost.
    pub underestimates: bool,
}

pub fn share(customer: u32) -> u32 {
    [8, 4, 2, 1, 1, 1, 1, 1][customer as usize % 8]
}

pub fn name(customer: u32) -> String {
    format!("c{customer}")
}

pub fn config(params: Params) -> Config {
    let mut config = Config::default();
    let mut put = |object: Object| {
        let revision = config.revision + 1;
        config.apply(Change {
            key: object.key(),
            revision,
            object: Some(object),
        });
    };
    for customer in 0..params.customers {
        put(Object::Customer(Customer {
            name: name(customer),
            share: share(customer),
            class: Class::Normal,
            keys: Vec::new(),
            queue: None,
        }));
    }
    for server in 0..params.configured_servers {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        put(Object::Server(Server {
            name: format!("s{server}"),
            pool: POOL.to_owned(),
            region: String::new(),
            zone: "z".to_owned(),
            control: address,
            data: address,
            slots: params.slots,
            state: State::Active,
            added_at: 1,
            changed_at: 1,
        }));
    }
    config
}
