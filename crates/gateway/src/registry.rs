//! The servers that are registered.

mod instances;
mod model_stats;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::engine::PoolStats;
use mulberryyoke_decide::sample::is_sampled;
use mulberryyoke_model::{PoolId, ServerId};
use parking_lot::Mutex;

use self::instances::Instances;
pub(crate) use self::model_stats::ModelStats;
use crate::backend::Backend;
use crate::clock;
use crate::config::Config;
use crate::server::Server;

/// Servers of a pool that a node uses, about: of more it uses a part, so that what it does for a
/// prompt, and the connections that it has, do not grow with them. Sixteen are looked at closely
/// for each prompt.
const USED: usize = 256;

/// The servers by identity, and those of each pool that this node uses.
#[derive(Debug, Default)]
pub(crate) struct Table {
    ids: HashMap<ServerId, Arc<Backend>>,
    pools: HashMap<PoolId, Vec<Arc<Backend>>>,
}

/// The servers that are registered, readable without a lock. One task alone changes it.
#[derive(Debug)]
pub(crate) struct Registry {
    /// This node's rank, by which it uses other servers than other nodes.
    node: u64,
    table: ArcSwap<Table>,
    /// The servers by name, as the one task that changes them knows them.
    names: Mutex<HashMap<String, Arc<Backend>>>,
    /// Whether the table is to be made when all changes are known that came together.
    is_held: AtomicBool,
    /// Whether the table lacks changes.
    is_stale: AtomicBool,
    /// How fast servers read prompts and end requests, by pool.
    paces: Mutex<HashMap<PoolId, Arc<Mutex<PoolStats>>>>,
    /// Availability zones to whose servers nothing is to be sent.
    evacuated: Mutex<HashSet<String>>,
    /// What lives of servers said of themselves.
    pub(crate) instances: Instances,
}

impl Registry {
    /// That of a node before it knows a server.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            node: name_hash(name),
            table: ArcSwap::default(),
            names: Mutex::default(),
            is_held: AtomicBool::new(false),
            is_stale: AtomicBool::new(false),
            paces: Mutex::default(),
            evacuated: Mutex::default(),
            instances: Instances::default(),
        }
    }

    /// Makes several changes at once: the table is made when they are done.
    pub(crate) fn batch<T>(&self, changes: impl FnOnce() -> T) -> T {
        self.is_held.store(true, Ordering::Relaxed);
        let done = changes();
        self.is_held.store(false, Ordering::Relaxed);
        self.publish();
        done
    }

    /// Reads the servers of a pool that this node uses.
    pub(crate) fn with_pool<T>(&self, pool: PoolId, read: impl FnOnce(&[Arc<Backend>]) -> T) -> T {
        let table = self.table.load();
        read(table.pools.get(&pool).map_or(&[], Vec::as_slice))
    }

    /// Whether this node uses a server.
    pub(crate) fn is_in_subset(&self, backend: &Backend) -> bool {
        let id = backend.server.id;
        self.with_pool(backend.server.pool, |servers| {
            servers.iter().any(|server| server.server.id == id)
        })
    }

    /// The server of a name.
    pub(crate) fn get(&self, name: &str) -> Option<Arc<Backend>> {
        self.names.lock().get(name).cloned()
    }

    /// The server of an identity.
    pub(crate) fn get_by_id(&self, id: ServerId) -> Option<Arc<Backend>> {
        self.table.load().ids.get(&id).cloned()
    }

    /// The servers that this node uses.
    pub(crate) fn subset(&self) -> Vec<Arc<Backend>> {
        let table = self.table.load();
        table.pools.values().flatten().cloned().collect()
    }

    /// The servers of each pool, those that this node uses.
    pub(crate) fn pool_subsets(&self) -> Vec<Vec<ServerId>> {
        let table = self.table.load();
        let pools = table.pools.values();
        let ids = pools.map(|servers| servers.iter().map(|backend| backend.server.id).collect());
        ids.collect()
    }

    /// The model servers as a whole. Cold ones, those that rest and those of evacuated zones have
    /// little to do and cannot take more.
    pub(crate) fn model_stats(&self) -> ModelStats {
        let table = self.table.load();
        let now = clock::now_ms();
        let (mut all, mut taking, mut waits_ms) = (0_u32, 0_u32, 0.0);
        let models = table.ids.values();
        for backend in models.filter(|backend| backend.is_model && !backend.is_closed()) {
            all += 1;
            let is_held = backend.cold.is_cold(now) || backend.instance.is_pushing_back(now);
            if backend.is_open() && !is_held {
                taking += 1;
                waits_ms += backend.engine().wait_ms();
            }
        }
        // One at least, so that there is something to share out.
        let some = f64::from(taking.max(1));
        ModelStats {
            wait_ms: waits_ms / some,
            accepting_ratio: some / f64::from(all.max(1)),
        }
    }

    /// Notes a registration; `true` if it changed what may be sent where.
    pub(crate) fn register(&self, server: Server, config: Option<&Config>) -> bool {
        if let Some(held) = self.get(&server.name) {
            if is_earlier(&server, &held.server) {
                return false;
            }
            let closes = server.is_leaving && !held.is_closed();
            let is_same = is_same(&held.server, &server);
            if closes || !is_same {
                held.close();
            }
            if is_same {
                return closes;
            }
            held.instance.touch(clock::now_ms());
        }
        let model = config.and_then(|config| config.pool(server.pool)?.model);
        let name = server.name.clone();
        let pace = Arc::clone(self.paces.lock().entry(server.pool).or_default());
        let is_evacuated = self.evacuated.lock().contains(&server.zone);
        let life = self.instances.get_or_new(server.id);
        let backend = Arc::new(Backend::new(server, model, pace, life));
        backend.set_evacuated(is_evacuated);
        self.change(|servers| {
            servers.insert(name, backend);
        });
        true
    }

    /// Notes that a server is gone; `true` if it was there.
    pub(crate) fn remove(&self, name: &str) -> bool {
        let Some(held) = self.get(name) else {
            return false;
        };
        held.close();
        held.instance.touch(clock::now_ms());
        self.change(|servers| {
            servers.remove(name);
        });
        true
    }

    /// Lets nothing be sent to the servers of a zone, or again; those that are registered now.
    pub(crate) fn set_evacuated(&self, zone: &str, is_evacuated: bool) -> Vec<Arc<Backend>> {
        let mut evacuated = self.evacuated.lock();
        if is_evacuated {
            evacuated.insert(zone.to_owned());
        } else {
            evacuated.remove(zone);
        }
        drop(evacuated);
        let names = self.names.lock();
        let servers = names.values().filter(|backend| backend.server.zone == zone);
        let servers: Vec<Arc<Backend>> = servers.cloned().collect();
        drop(names);
        for backend in &servers {
            backend.set_evacuated(is_evacuated);
        }
        servers
    }

    fn change(&self, change: impl FnOnce(&mut HashMap<String, Arc<Backend>>)) {
        change(&mut self.names.lock());
        self.is_stale.store(true, Ordering::Relaxed);
        if !self.is_held.load(Ordering::Relaxed) {
            self.publish();
        }
    }

    /// Makes the table that requests read, if something changed.
    fn publish(&self) {
        if !self.is_stale.swap(false, Ordering::Relaxed) {
            return;
        }
        let mut table = Table::default();
        for backend in self.names.lock().values() {
            let of_pool = table.pools.entry(backend.server.pool).or_default();
            of_pool.push(Arc::clone(backend));
            table.ids.insert(backend.server.id, Arc::clone(backend));
        }
        for of_pool in table.pools.values_mut() {
            let count = of_pool.len();
            of_pool.retain(|backend| is_sampled(self.node, backend.server.id, count, USED));
            of_pool.sort_by(|a, b| a.server.name.cmp(&b.server.name));
        }
        self.table.store(Arc::new(table));
    }
}

/// Whether a registration is of an earlier life than another.
fn is_earlier(new: &Server, held: &Server) -> bool {
    let lives = new.started_ms.zip(held.started_ms);
    lives.is_some_and(|(new, held)| new < held)
}

/// Whether two registrations are of one life of a server that has not come back from leaving.
fn is_same(held: &Server, new: &Server) -> bool {
    (held.id, held.pool, held.address) == (new.id, new.pool, new.address)
        && (!held.is_leaving || new.is_leaving)
}
