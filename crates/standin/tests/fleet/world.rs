//! The platform's stand-ins and the routers of a test.

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

/// Longest time that anything may take.
const LIMIT: Duration = Duration::from_mins(1);

/// The platform's stand-ins.
pub struct World {
    pub kv: Handle,
    pub vms: vms::Handle,
    pub client: Etcd,
}

/// A router's knowledge of the fleet, and its log.
pub struct Router {
    pub fleet: Arc<Fleet>,
    pub log: Log,
}

/// Fails a test that waits too long.
pub async fn limit<T>(wait: impl Future<Output = T>) -> T {
    let ended = tokio::time::timeout(LIMIT, wait).await;
    ended.expect("the test waits too long")
}

impl World {
    pub async fn open() -> Self {
        let kv = Store::bind(LOOPBACK).await.unwrap();
        let vms = vms::List::bind(LOOPBACK, Vec::new()).await.unwrap();
        let client = Etcd::new(vec![kv.address()], Options::default());
        Self { kv, vms, client }
    }

    /// Starts a router of a zone and enters it in the VM list.
    pub async fn router(&self, name: &str, zone: &str) -> Router {
        let nowhere = "127.0.0.1:1";
        let settings = json!({
            "name": name, "zone": zone, "callers": nowhere, "operators": nowhere,
            "control": LOOPBACK, "kv": [self.kv.address()], "vms": self.vms.address(),
            "prefix": "/test/", "exchange_ms": 20,
        });
        let settings = Arc::new(serde_json::from_value(settings).unwrap());
        let log = Log::open();
        let fleet = Fleet::spawn(settings, log.logger()).await.unwrap();
        self.list(name, zone, Role::Router, fleet.control());
        Router { fleet, log }
    }

    pub fn list(&self, name: &str, zone: &str, role: Role, control: SocketAddr) {
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

    pub fn outage(&self, outage: bool) {
        self.kv.set_faults(&Faults {
            outage: Some(outage),
            ..Faults::default()
        });
    }

    pub fn order(&self, order: Action) {
        self.kv.set_faults(&Faults {
            once: vec![order],
            ..Faults::default()
        });
    }

    /// Accepts a pool into the configuration.
    pub async fn accept(&self, name: &str) -> Revision {
        self.put(name, value(name)).await
    }

    pub async fn put(&self, name: &str, value: Vec<u8>) -> Revision {
        // A new connection, since a test may have cut the others.
        let client = Etcd::new(vec![self.kv.address()], Options::default());
        put(&client, name, Some(value)).await
    }
}

/// Writes or deletes the key of a pool.
pub async fn put(client: &Etcd, name: &str, value: Option<Vec<u8>>) -> Revision {
    let key = format!("/test/config/pool/{name}");
    match client.swap(&key, Expect::Any, value, None).await.unwrap() {
        Swap::Done(revision) => revision,
        Swap::Conflict(_) => panic!("conflict without a condition"),
    }
}

/// The configured value of a pool.
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
    /// Waits until a revision is in force.
    pub async fn reach(&self, revision: Revision) {
        let mut watch = self.fleet.watch();
        let reached = watch.wait_for(|held| *held >= revision);
        limit(reached).await.expect("the fleet goes on");
    }

    /// Names of the pools in force.
    pub fn pools(&self) -> Vec<String> {
        let view = self.fleet.view();
        let mut pools: Vec<String> = view.pools().map(|pool| pool.name.clone()).collect();
        pools.sort();
        pools
    }

    /// Waits until something holds that no event tells.
    pub async fn until(&self, holds: impl Fn(&Fleet) -> bool) {
        let polled = async {
            while !holds(&self.fleet) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        limit(polled).await;
    }
}
