//! A router with fake sidecars and a key-value service.

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

use crate::fake_sidecar::FakeSidecar;

/// An address on which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

/// Name of the default customer of callers.
pub(crate) const CUSTOMER: &str = "scouts";

/// Another customer.
pub(crate) const OTHER_CUSTOMER: &str = "school";

/// Name of the model.
pub(crate) const MODEL: &str = "hints";

/// Name of the pool of plain services.
pub(crate) const SERVICE: &str = "booking";

/// A router and its key-value service.
pub(crate) struct Fleet {
    pub(crate) router: Router,
    kv: Handle,
}

impl Fleet {
    /// Starts a router and waits until it is connected to the sidecars. `overrides` are
    /// merged into its settings.
    pub(crate) async fn spawn(sidecars: &[&FakeSidecar], overrides: &Value) -> Self {
        let kv = Store::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let fleet = Self {
            router: Router::spawn(settings(kv.address(), overrides), logger())
                .await
                .unwrap(),
            kv,
        };
        for object in objects() {
            fleet.configure(object).await;
        }
        for sidecar in sidecars {
            fleet
                .configure(Object::Server(sidecar.server.clone()))
                .await;
        }
        fleet.wait_connected(sidecars.len()).await;
        fleet
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.router.address()
    }

    /// Writes an object to the configuration.
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

    /// Waits until `count` sidecars are connected.
    pub(crate) async fn wait_connected(&self, count: usize) {
        let inspect = self.router.inspect();
        wait_until(|| {
            let servers = inspect.servers();
            servers.iter().filter(|server| server.up).count() == count
        })
        .await;
    }

    /// Waits until `count` requests are queued.
    pub(crate) async fn wait_queued(&self, count: usize) {
        let inspect = self.router.inspect();
        wait_until(|| inspect.waiting_requests().len() == count).await;
    }
}

/// Polls until a condition holds.
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

pub(crate) fn customer_id() -> CustomerId {
    CustomerId::of(CUSTOMER)
}

pub(crate) fn other_customer_id() -> CustomerId {
    CustomerId::of(OTHER_CUSTOMER)
}

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

fn settings(kv: SocketAddr, overrides: &Value) -> settings::Router {
    let mut settings = json!({
        "name": "r1", "zone": "a", "callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
        "control": "127.0.0.1:0", "kv": [kv], "vms": UNUSED_ADDRESS, "heartbeat_ms": 60,
    });
    let overrides = overrides.as_object().unwrap().clone();
    settings.as_object_mut().unwrap().extend(overrides);
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
        customer(OTHER_CUSTOMER),
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

/// Configuration object of the server in state `Draining`.
pub(crate) fn draining_server(server: &Server, at: u64) -> Object {
    Object::Server(Server {
        state: mulberryyoke_model::State::Draining,
        changed_at: at,
        ..server.clone()
    })
}
