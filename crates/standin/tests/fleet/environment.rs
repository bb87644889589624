//! Stand-ins of the platform, and routers that use them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_model::{Entry, Kind, Object, Pool, Revision};
use mulberryyoke_platform::kv::{Etcd, Expect, Kv, Options, Swap};
use mulberryyoke_platform::vm::{Role, State, Vm};
use mulberryyoke_standin::kv::{Action, Faults, Handle, Store};
use mulberryyoke_standin::vms;
use mulberryyoked::fleet::Fleet;
use serde_json::json;

use crate::log::Log;

pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// An address on which nothing listens.
const UNREACHABLE: &str = "127.0.0.1:1";

const TIMEOUT: Duration = Duration::from_mins(1);

/// Stand-ins of the platform.
pub struct Environment {
    pub kv: Handle,
    pub vms: vms::Handle,
    pub client: Etcd,
}

/// The fleet state of a router, and its log.
pub struct Router {
    pub fleet: Arc<Fleet>,
    pub log: Log,
}

/// Waits for a future; panics after [`TIMEOUT`].
pub async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(TIMEOUT, future).await;
    result.expect("the operation completes within the timeout")
}

impl Environment {
    pub async fn spawn() -> Self {
        let kv = Store::bind(LOOPBACK).await.unwrap();
        let vms = vms::List::bind(LOOPBACK, Vec::new()).await.unwrap();
        let client = Etcd::new(vec![kv.address()], Options::default());
        Self { kv, vms, client }
    }

    /// Starts a router and adds it to the VM list.
    pub async fn spawn_router(&self, name: &str, zone: &str) -> Router {
        let kv = self.kv.address().to_string();
        self.spawn_router_with_kv(name, zone, &kv).await
    }

    /// As [`Environment::spawn_router`], cut off from the key-value service.
    pub async fn spawn_cut_off_router(&self, name: &str, zone: &str) -> Router {
        self.spawn_router_with_kv(name, zone, UNREACHABLE).await
    }

    async fn spawn_router_with_kv(&self, name: &str, zone: &str, kv: &str) -> Router {
        let settings = json!({
            "name": name, "zone": zone, "callers": UNREACHABLE, "operators": UNREACHABLE,
            "control": LOOPBACK, "kv": [kv], "vms": self.vms.address(),
            "prefix": "/test/", "exchange_ms": 20,
        });
        let settings = Arc::new(serde_json::from_value(settings).unwrap());
        let log = Log::new();
        let fleet = Fleet::spawn(settings, log.logger()).await.unwrap();
        self.add_vm(name, zone, Role::Router, fleet.control());
        Router { fleet, log }
    }

    pub fn add_vm(&self, name: &str, zone: &str, role: Role, control: SocketAddr) {
        let vm = Vm {
            name: name.to_owned(),
            role,
            region: String::new(),
            zone: zone.to_owned(),
            control,
            state: State::Live,
        };
        self.vms.update(vms::Update {
            add: vec![vm],
            ..vms::Update::default()
        });
    }

    pub fn set_kv_outage(&self, outage: bool) {
        self.kv.set_faults(&Faults {
            outage: Some(outage),
            ..Faults::default()
        });
    }

    pub fn execute_kv_action(&self, action: Action) {
        self.kv.set_faults(&Faults {
            once: vec![action],
            ..Faults::default()
        });
    }

    /// Writes the configuration of a pool.
    pub async fn put_pool(&self, name: &str) -> Revision {
        self.put(name, value(name)).await
    }

    /// Writes a value under the key of a pool.
    pub async fn put(&self, name: &str, value: Vec<u8>) -> Revision {
        // A new client, since the test may have closed the other connections.
        let client = Etcd::new(vec![self.kv.address()], Options::default());
        put(&client, name, Some(value)).await
    }
}

/// Writes or deletes the key of a pool.
pub async fn put(client: &Etcd, name: &str, value: Option<Vec<u8>>) -> Revision {
    let key = format!("/test/config/pool/{name}");
    match client.swap(&key, Expect::Any, value, None).await.unwrap() {
        Swap::Done(revision) => revision,
        Swap::Conflict(_) => panic!("conflict without a precondition"),
    }
}

/// Configuration value of a pool.
pub fn value(name: &str) -> Vec<u8> {
    let entry = Entry {
        object: Some(pool(name)),
        ..Entry::default()
    };
    serde_json::to_vec(&entry).unwrap()
}

pub fn pool(name: &str) -> Object {
    Object::Pool(Pool {
        name: name.to_owned(),
        kind: Kind::Model,
        routes: Vec::new(),
    })
}

impl Router {
    /// Waits until a revision is applied.
    pub async fn wait_for_revision(&self, revision: Revision) {
        let mut applied = self.fleet.watch();
        let reached = applied.wait_for(|applied| *applied >= revision);
        with_timeout(reached).await.expect("the fleet is running");
    }

    /// Names of the configured pools.
    pub fn pools(&self) -> Vec<String> {
        let view = self.fleet.view();
        let mut pools: Vec<String> = view.pools().map(|pool| pool.name.clone()).collect();
        pools.sort();
        pools
    }

    /// Polls until a condition holds.
    pub async fn wait_until(&self, condition: impl Fn(&Fleet) -> bool) {
        let poll = async {
            while !condition(&self.fleet) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        with_timeout(poll).await;
    }
}
