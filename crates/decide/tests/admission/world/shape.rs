//! Sizes of a run and what is configured in it.

use mulberryyoke_model::{Change, Class, Config, Customer, Millis, Object, Server, State};

pub const POOL: &str = "llama";

/// Sizes and faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub seed: u64,
    pub servers: usize,
    pub slots: u32,
    pub routers: usize,
    pub customers: u32,
    /// Servers that each router is linked to.
    pub subset: usize,
    /// Servers that the sidecars take for the pool's.
    pub reach: usize,
    /// How late the sidecars take peers' counts to be, in milliseconds.
    pub assumed: Millis,
    /// Time between two exchanges of the routers, in milliseconds.
    pub lag: Millis,
    /// Faults in each million events.
    pub faults: f64,
    /// The only kind of fault, if not all.
    pub only: Option<u32>,
    /// Whether every other customer hints a tenth of its cost.
    pub cheats: bool,
}

pub fn share(customer: u32) -> u32 {
    [8, 4, 2, 1, 1, 1, 1, 1][customer as usize % 8]
}

pub fn name(customer: u32) -> String {
    format!("c{customer}")
}

pub fn config(shape: Shape) -> Config {
    let mut config = Config::default();
    let mut put = |object: Object| {
        let revision = config.revision + 1;
        config.apply(Change {
            key: object.key(),
            revision,
            object: Some(object),
        });
    };
    for customer in 0..shape.customers {
        put(Object::Customer(Customer {
            name: name(customer),
            share: share(customer),
            class: Class::Normal,
            keys: Vec::new(),
            queue: None,
        }));
    }
    for server in 0..shape.reach {
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        put(Object::Server(Server {
            name: format!("s{server}"),
            pool: POOL.to_owned(),
            region: String::new(),
            zone: "z".to_owned(),
            control: any,
            data: any,
            slots: shape.slots,
            state: State::Active,
            added_at: 1,
            changed_at: 1,
        }));
    }
    config
}
