//! A router with its platform and fake sidecars.

use std::net::SocketAddr;
use std::time::Duration;

use mulberryyoke_event::slog::{Discard, Logger, o};
use mulberryyoke_model::{
    Class, Customer, CustomerId, Entry, KeyHash, Kind, Object, Pool, Route, Server,
};
use mulberryyoke_platform::kv::{Etcd, Expect, Kv, Options};
use mulberryyoke_settings as settings;
use mulberryyoke_standin::kv::{Handle, Store};
use mulberryyoked::router::Router;
use serde_json::{Value, json};

use crate::fake::Fake;

/// A port on which nothing listens.
const DEAD: &str = "127.0.0.1:9";

/// Name of the customer that the callers are.
pub(crate) const CUSTOMER: &str = "scouts";

/// Another customer.
pub(crate) const OTHER: &str = "school";

/// Name of the model.
pub(crate) const MODEL: &str = "hints";

/// Name of the pool of plain services.
pub(crate) const SERVICE: &str = "booking";

/// A router with its platform.
pub(crate) struct Fleet {
    pub(crate) router: Router,
    kv: Handle,
}

impl Fleet {
    /// Starts a router that knows these sidecars and is connected to them.
    pub(crate) async fn spawn(fakes: &[&Fake], changes: &Value) -> Self {
        let kv = Store::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let fleet = Self {
            router: Router::spawn(settings(kv.address(), changes), logger())
                .await
                .unwrap(),
            kv,
        };
        for object in objects() {
            fleet.configure(object).await;
        }
        for fake in fakes {
            fleet.configure(Object::Server(fake.server.clone())).await;
        }
        fleet.connected(fakes.len()).await;
        fleet
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.router.address()
    }

    /// Accepts an object as operators do.
    pub(crate) async fn configure(&self, object: Object) {
        let kv = Etcd::new(vec![self.kv.address()], Options::default());
        let key = format!("/mulberryyoke/config/{}", object.key());
        let entry = Entry {
            object: Some(object),
            ..Entry::default()
        };
        let value = serde_json::to_vec(&entry).unwrap();
        kv.swap(&key, Expect::Any, Some(value), None).await.unwrap();
    }

    /// Waits until so many sidecars are connected.
    pub(crate) async fn connected(&self, count: usize) {
        let inspect = self.router.inspect();
        eventually(|| {
            let servers = inspect.servers();
            servers.iter().filter(|server| server.up).count() == count
        })
        .await;
    }

    /// Waits until so many requests wait.
    pub(crate) async fn waiting(&self, count: usize) {
        let inspect = self.router.inspect();
        eventually(|| inspect.waiting().len() == count).await;
    }
}

/// Waits for a state that nothing announces.
pub(crate) async fn eventually(mut is_so: impl FnMut() -> bool) {
    while !is_so() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

pub(crate) fn customer() -> CustomerId {
    CustomerId::of(CUSTOMER)
}

pub(crate) fn other() -> CustomerId {
    CustomerId::of(OTHER)
}

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

fn settings(kv: SocketAddr, changes: &Value) -> settings::Router {
    let mut settings = json!({
        "name": "r1", "zone": "a", "callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
        "control": "127.0.0.1:0", "kv": [kv], "vms": DEAD, "heartbeat_ms": 60,
    });
    let changes = changes.as_object().unwrap().clone();
    settings.as_object_mut().unwrap().extend(changes);
    serde_json::from_value(settings).unwrap()
}

fn objects() -> Vec<Object> {
    let customer = |name: &str| {
        Object::Customer(Customer {
            name: name.to_owned(),
            share: 1,
            class: Class::Normal,
            keys: vec![KeyHash::of(&format!("key-{name}"))],
            queue: None,
        })
    };
    let route = |method: &str, prefix: &str, idempotent| Route {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        idempotent,
        cost: 5,
    };
    vec![
        customer(CUSTOMER),
        customer(OTHER),
        Object::Pool(Pool {
            name: MODEL.to_owned(),
            kind: Kind::Model,
            routes: Vec::new(),
        }),
        Object::Pool(Pool {
            name: SERVICE.to_owned(),
            kind: Kind::Service,
            routes: vec![route("GET", "/slots", true), route("POST", "/slots", false)],
        }),
    ]
}

/// A server as it is once it leaves.
pub(crate) fn draining(server: &Server, at: u64) -> Object {
    Object::Server(Server {
        state: mulberryyoke_model::State::Draining,
        changed_at: at,
        ..server.clone()
    })
}
