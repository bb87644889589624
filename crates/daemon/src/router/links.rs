//! The sidecars that the router is connected to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use mulberryyoke_decide::view::View;
use mulberryyoke_model::{Millis, PoolId, Server, ServerId, State};
use parking_lot::Mutex;

use super::core::Core;
use super::link::Link;
use crate::clock;

/// Time between two looks at configuration and VM list.
const TICK: Duration = Duration::from_millis(500);

/// How long a link made for one key is kept after its last use, in milliseconds.
const EXTRA_MS: Millis = 60_000;

/// Links by server and by pool.
#[derive(Debug, Default)]
pub(crate) struct Table {
    by_server: HashMap<ServerId, Arc<Link>>,
    by_pool: HashMap<PoolId, Vec<Arc<Link>>>,
}

/// The links of a router, readable without a lock.
#[derive(Debug, Default)]
pub(crate) struct Links {
    table: ArcSwap<Table>,
    /// Links beyond the router's own choice, with their last use.
    extra: Mutex<HashMap<ServerId, Millis>>,
}

impl Links {
    /// The link to a server, if there is one.
    pub(crate) fn get(&self, server: ServerId) -> Option<Arc<Link>> {
        self.table.load().by_server.get(&server).cloned()
    }

    /// Reads the links of a pool.
    pub(crate) fn of<T>(&self, pool: PoolId, read: impl FnOnce(&[Arc<Link>]) -> T) -> T {
        let table = self.table.load();
        read(table.by_pool.get(&pool).map_or(&[], Vec::as_slice))
    }

    /// Servers of a pool that may get new work.
    pub(crate) fn open(&self, pool: PoolId) -> Vec<ServerId> {
        self.of(pool, |links| {
            let open = links.iter().filter(|link| link.standing.is_open());
            open.map(|link| link.id).collect()
        })
    }

    /// Every link.
    pub(crate) fn all(&self) -> Vec<Arc<Link>> {
        self.table.load().by_server.values().cloned().collect()
    }

    /// The link to a server, made if there is none and kept for a while.
    pub(crate) fn require(&self, core: &Arc<Core>, server: &Arc<Server>) -> Arc<Link> {
        let id = ServerId::of(&server.name);
        let mut extra = self.extra.lock();
        extra.insert(id, clock::now());
        if let Some(link) = self.get(id) {
            return link;
        }
        let link = Link::spawn(core, server);
        let mut links = self.all();
        links.push(Arc::clone(&link));
        self.publish(links);
        link
    }

    /// Makes and ends links as configuration and VM list say.
    fn reconcile(&self, core: &Arc<Core>) {
        let view = core.fleet.view();
        let mut extra = self.extra.lock();
        let now = clock::now();
        extra.retain(|_, used_at| now.saturating_sub(*used_at) < EXTRA_MS);
        let mut links = Vec::new();
        for link in self.all() {
            let wanted = is_wanted(&view, &link) || extra.contains_key(&link.id);
            let moved = view
                .server(link.id)
                .is_some_and(|server| has_moved(server, &link));
            if moved || !(wanted || link.standing.running() > 0) {
                link.stop();
            } else {
                links.push(link);
            }
        }
        for pool in view.pools() {
            for server in view.servers(PoolId::of(&pool.name)) {
                let id = ServerId::of(&server.name);
                if server.state != State::Removed && links.iter().all(|link| link.id != id) {
                    links.push(Link::spawn(core, server));
                }
            }
        }
        for link in &links {
            let state = view.server(link.id).map(|server| server.state);
            let active = state == Some(State::Active);
            link.set_closed(!active || core.fleet.is_leaving(&link.server.name));
        }
        self.publish(links);
    }

    fn publish(&self, links: Vec<Arc<Link>>) {
        let mut table = Table::default();
        for link in links {
            let of_pool = table.by_pool.entry(link.pool).or_default();
            of_pool.push(Arc::clone(&link));
            table.by_server.insert(link.id, link);
        }
        self.table.store(Arc::new(table));
    }
}

/// A link is kept while its server is configured, and after that until the
/// sidecar has learnt that it is not.
fn is_wanted(view: &View, link: &Link) -> bool {
    let state = view.server(link.id).map(|server| server.state);
    match state {
        Some(State::Active | State::Draining) => true,
        Some(State::Removed) | None => {
            let load = link.standing.load();
            let behind = load.is_some_and(|load| load.revision < view.revision());
            link.standing.is_up() && behind
        }
    }
}

fn has_moved(server: &Server, link: &Link) -> bool {
    (server.control, server.data) != (link.server.control, link.server.data)
}

/// Keeps the links and the queues in step with configuration, VM list and time.
pub(crate) async fn keep(core: Arc<Core>) {
    let mut revision = core.fleet.watch();
    loop {
        core.links.reconcile(&core);
        let now = clock::now();
        for room in core.rooms.all() {
            room.raise(now);
        }
        let stall_ms = core.settings.limits.stall_ms;
        core.stalls.release(now.saturating_sub(stall_ms));
        tokio::select! {
            () = core.stop.end.cancelled() => break,
            changed = revision.changed() => {
                if changed.is_err() {
                    break;
                }
            }
            () = tokio::time::sleep(TICK) => {}
        }
    }
    for link in core.links.all() {
        link.stop();
    }
}
