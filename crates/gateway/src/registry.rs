//! Registered servers.

mod instances;
mod model_stats;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use mulberryyoke_decide::aggregate::name_hash;
use mulberryyoke_decide::engine::{Footprint, PoolStats};
use mulberryyoke_decide::sample::is_sampled;
use mulberryyoke_model::{PoolId, ServerId, VersionId};
use parking_lot::Mutex;

use self::instances::Instances;
pub(crate) use self::model_stats::ModelStats;
use crate::backend::Backend;
use crate::clock;
use crate::config::Config;
use crate::room::Room;
use crate::server::Server;

/// Approximate maximum number of servers of a pool that a gateway uses. It uses a subset of larger
/// pools, to bound its connections and the work per prompt.
const SUBSET_SIZE: usize = 256;

/// Snapshot of the servers by identity, and of the subset of each pool that this gateway uses.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    ids: HashMap<ServerId, Arc<Backend>>,
    pools: HashMap<PoolId, Vec<Arc<Backend>>>,
    /// Versions of all registered servers, by pool.
    versions: HashSet<(PoolId, VersionId)>,
}

/// Registered servers, readable without a lock. Only one task changes it.
#[derive(Debug)]
pub(crate) struct Registry {
    /// Hash of this gateway's name, by which gateways select different subsets.
    name_hash: u64,
    snapshot: ArcSwap<Snapshot>,
    /// The servers by name, including unpublished changes.
    names: Mutex<HashMap<String, Arc<Backend>>>,
    /// Whether a batch of changes is in progress, which is published as a whole.
    is_batching: AtomicBool,
    /// Whether the snapshot lacks changes.
    is_stale: AtomicBool,
    /// Latency statistics of the servers, by pool.
    pool_stats: Mutex<HashMap<PoolId, Arc<Mutex<PoolStats>>>>,
    /// Average memory of requests, by pool.
    footprints: Mutex<HashMap<PoolId, Arc<Mutex<Footprint>>>>,
    /// Evacuated availability zones.
    evacuated: Mutex<HashSet<String>>,
    /// Instances of servers that sent announcements or pushback.
    pub(crate) instances: Instances,
    /// Told when a server may have room for another request.
    pub(crate) room: Arc<Room>,
}

impl Registry {
    /// An empty registry of the gateway with this name.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name_hash: name_hash(name),
            snapshot: ArcSwap::default(),
            names: Mutex::default(),
            is_batching: AtomicBool::new(false),
            is_stale: AtomicBool::new(false),
            pool_stats: Mutex::default(),
            footprints: Mutex::default(),
            evacuated: Mutex::default(),
            instances: Instances::default(),
            room: Arc::default(),
        }
    }

    /// Makes several changes and publishes them together.
    pub(crate) fn batch<T>(&self, changes: impl FnOnce() -> T) -> T {
        self.is_batching.store(true, Ordering::Relaxed);
        let result = changes();
        self.is_batching.store(false, Ordering::Relaxed);
        self.publish();
        result
    }

    /// Calls a function with this gateway's subset of a pool.
    pub(crate) fn with_pool<T>(&self, pool: PoolId, read: impl FnOnce(&[Arc<Backend>]) -> T) -> T {
        let snapshot = self.snapshot.load();
        read(snapshot.pools.get(&pool).map_or(&[], Vec::as_slice))
    }

    /// Whether a server is in this gateway's subset of its pool.
    pub(crate) fn is_in_subset(&self, backend: &Backend) -> bool {
        let id = backend.server.id;
        self.with_pool(backend.server.pool, |servers| {
            servers.iter().any(|server| server.server.id == id)
        })
    }

    /// The server with a name.
    pub(crate) fn get(&self, name: &str) -> Option<Arc<Backend>> {
        self.names.lock().get(name).cloned()
    }

    /// The server with an identity.
    pub(crate) fn get_by_id(&self, id: ServerId) -> Option<Arc<Backend>> {
        self.snapshot.load().ids.get(&id).cloned()
    }

    /// All servers of a pool that have a version.
    pub(crate) fn of_version(&self, pool: PoolId, version: VersionId) -> Vec<Arc<Backend>> {
        let snapshot = self.snapshot.load();
        let servers = snapshot.ids.values();
        let servers = servers
            .filter(|backend| (backend.server.pool, backend.server.version) == (pool, version));
        servers.cloned().collect()
    }

    /// This gateway's subset of all pools.
    pub(crate) fn subset(&self) -> Vec<Arc<Backend>> {
        let snapshot = self.snapshot.load();
        snapshot.pools.values().flatten().cloned().collect()
    }

    /// The identities in this gateway's subset of each pool.
    pub(crate) fn pool_subsets(&self) -> Vec<Vec<ServerId>> {
        let snapshot = self.snapshot.load();
        let pools = snapshot.pools.values();
        let ids = pools.map(|servers| servers.iter().map(|backend| backend.server.id).collect());
        ids.collect()
    }

    /// Versions of all registered servers, by pool.
    pub(crate) fn versions(&self) -> Vec<(PoolId, VersionId)> {
        self.snapshot.load().versions.iter().copied().collect()
    }

    /// Latency statistics of all pools.
    pub(crate) fn pool_stats(&self) -> Vec<(PoolId, PoolStats)> {
        let pools = self.pool_stats.lock();
        let stats = pools.iter().map(|(&id, stats)| (id, *stats.lock()));
        stats.collect()
    }

    /// Statistics of all model servers. The wait leaves out servers that accept little or nothing:
    /// cold ones, those with active pushback and those of evacuated zones.
    pub(crate) fn model_stats(&self) -> ModelStats {
        let snapshot = self.snapshot.load();
        let now = clock::now_ms();
        let (mut all, mut accepting, mut waits_ms) = (0_u32, 0_u32, 0.0);
        let servers = snapshot.ids.values();
        for backend in servers.filter(|backend| backend.is_model && !backend.is_closed()) {
            all += 1;
            let is_limited = backend.cold.is_cold(now) || backend.instance.is_pushing_back(now);
            if backend.is_open() && !is_limited {
                accepting += 1;
                // A stalled server is no sign of contention.
                waits_ms += backend.engine().queue_ms();
            }
        }
        // At least one, so that the shared capacity is never zero.
        let accepting = f64::from(accepting.max(1));
        ModelStats {
            wait_ms: waits_ms / accepting,
            accepting_ratio: accepting / f64::from(all.max(1)),
        }
    }

    /// Adds or updates a server; `true` if that changed where requests may be sent.
    pub(crate) fn register(&self, server: Server, config: Option<&Config>) -> bool {
        if let Some(current) = self.get(&server.name) {
            if is_earlier(&server, &current.server) {
                return false;
            }
            let closes = server.is_leaving && !current.is_closed();
            let is_same = is_same(&current.server, &server);
            if closes || !is_same {
                current.close();
            }
            if is_same {
                return closes;
            }
            current.instance.touch(clock::now_ms());
        }
        let model = config.and_then(|config| config.pool(server.pool)?.model);
        let name = server.name.clone();
        let pool_stats = Arc::clone(self.pool_stats.lock().entry(server.pool).or_default());
        let footprint = Arc::clone(self.footprints.lock().entry(server.pool).or_default());
        let is_evacuated = self.evacuated.lock().contains(&server.zone);
        let instance = self.instances.get_or_new(server.id);
        let backend = Arc::new(Backend::new(
            server,
            model,
            pool_stats,
            footprint,
            instance,
            Arc::clone(&self.room),
        ));
        backend.set_evacuated(is_evacuated);
        self.update(|servers| {
            servers.insert(name, backend);
        });
        true
    }

    /// Removes a server; `true` if it was registered.
    pub(crate) fn remove(&self, name: &str) -> bool {
        let Some(current) = self.get(name) else {
            return false;
        };
        current.close();
        current.instance.touch(clock::now_ms());
        self.update(|servers| {
            servers.remove(name);
        });
        true
    }

    /// Stops or resumes the use of a zone's servers, and returns those that are registered.
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

    fn update(&self, update: impl FnOnce(&mut HashMap<String, Arc<Backend>>)) {
        update(&mut self.names.lock());
        self.is_stale.store(true, Ordering::Relaxed);
        if !self.is_batching.load(Ordering::Relaxed) {
            self.publish();
        }
    }

    /// Replaces the snapshot if something changed.
    fn publish(&self) {
        if !self.is_stale.swap(false, Ordering::Relaxed) {
            return;
        }
        let mut snapshot = Snapshot::default();
        for backend in self.names.lock().values() {
            let subset = snapshot.pools.entry(backend.server.pool).or_default();
            subset.push(Arc::clone(backend));
            snapshot.ids.insert(backend.server.id, Arc::clone(backend));
            let version = (backend.server.pool, backend.server.version);
            snapshot.versions.insert(version);
        }
        for subset in snapshot.pools.values_mut() {
            let count = subset.len();
            subset.retain(|backend| {
                is_sampled(self.name_hash, backend.server.id, count, SUBSET_SIZE)
            });
            subset.sort_by(|a, b| a.server.name.cmp(&b.server.name));
        }
        self.snapshot.store(Arc::new(snapshot));
    }
}

/// Whether a registration is of an earlier instance than the current one.
fn is_earlier(new: &Server, current: &Server) -> bool {
    let starts = new.started_ms.zip(current.started_ms);
    starts.is_some_and(|(new, current)| new < current)
}

/// Whether two registrations are of one instance that has not resumed after leaving.
fn is_same(current: &Server, new: &Server) -> bool {
    (current.id, current.pool, current.address) == (new.id, new.pool, new.address)
        && current.version == new.version
        && (!current.is_leaving || new.is_leaving)
}
