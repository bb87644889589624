//! The sidecars that the router is connected to.

mod selection;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use mulberryyoke_decide::view::View;
use mulberryyoke_model::{PoolId, Server, ServerId, State};
use parking_lot::Mutex;

use super::core::Core;
use super::link::Link;
use crate::clock;
use selection::Selection;

/// Interval at which links and queues are updated if configuration has not changed.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// Links by server and by pool.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    by_server: HashMap<ServerId, Arc<Link>>,
    by_pool: HashMap<PoolId, Vec<Arc<Link>>>,
}

/// The links of a router, readable without locking.
#[derive(Debug, Default)]
pub(crate) struct Links {
    table: ArcSwap<LinkTable>,
    selection: Mutex<Selection>,
}

impl Links {
    /// Returns the link to a server, if there is one.
    pub(crate) fn get(&self, server: ServerId) -> Option<Arc<Link>> {
        self.table.load().by_server.get(&server).cloned()
    }

    /// Calls `f` with the links of a pool.
    pub(crate) fn with_pool<T>(&self, pool: PoolId, f: impl FnOnce(&[Arc<Link>]) -> T) -> T {
        let table = self.table.load();
        f(table.by_pool.get(&pool).map_or(&[], Vec::as_slice))
    }

    /// Returns the servers of a pool that may get new requests.
    pub(crate) fn eligible(&self, pool: PoolId) -> Vec<ServerId> {
        self.with_pool(pool, |links| {
            let eligible = links.iter().filter(|link| link.status.is_eligible());
            eligible.map(|link| link.id).collect()
        })
    }

    pub(crate) fn all(&self) -> Vec<Arc<Link>> {
        self.table.load().by_server.values().cloned().collect()
    }

    /// Returns the link to a server, opening it if necessary, and marks it as used.
    pub(crate) fn get_or_open(&self, core: &Arc<Core>, server: &Arc<Server>) -> Arc<Link> {
        let id = ServerId::of(&server.name);
        let mut selection = self.selection.lock();
        selection.record_use(id, clock::now());
        if let Some(link) = self.get(id) {
            return link;
        }
        let link = Link::spawn(core, server);
        let mut links = self.all();
        links.push(Arc::clone(&link));
        self.publish(links);
        link
    }

    /// Opens and closes links according to configuration, VM list and queued requests.
    fn reconcile(&self, core: &Arc<Core>) {
        let view = core.fleet.view();
        let mut selection = self.selection.lock();
        selection.refresh(core, clock::now());
        let (mut links, removed): (Vec<_>, Vec<_>) = self
            .all()
            .into_iter()
            .partition(|link| should_keep(&view, &selection, link));
        for link in removed {
            link.stop();
        }
        let linked: HashSet<ServerId> = links.iter().map(|link| link.id).collect();
        let missing = selection
            .servers()
            .filter(|server| !linked.contains(server));
        let missing = missing.filter_map(|server| view.server(server));
        links.extend(missing.map(|server| Link::spawn(core, server)));
        for link in &links {
            let state = view.server(link.id).map(|server| server.state);
            let active = state == Some(State::Active);
            link.set_excluded(!active || core.fleet.is_leaving(&link.server.name));
        }
        self.publish(links);
        core.fleet.set_idle(selection::idle_servers(core));
    }

    fn publish(&self, links: Vec<Arc<Link>>) {
        let mut table = LinkTable::default();
        for link in links {
            let pool_links = table.by_pool.entry(link.pool).or_default();
            pool_links.push(Arc::clone(&link));
            table.by_server.insert(link.id, link);
        }
        self.table.store(Arc::new(table));
    }
}

/// Whether to keep a link: while it is selected or requests run on it. The link to a
/// removed server is also kept until its sidecar has received the current revision.
fn should_keep(view: &View, selection: &Selection, link: &Link) -> bool {
    let server = view.server(link.id);
    if server.is_some_and(|server| address_changed(server, link)) {
        return false;
    }
    let state = server.map(|server| server.state);
    let selected = match state {
        Some(State::Active) => selection.contains(link.id),
        Some(State::Draining) => true,
        Some(State::Removed) | None => selection.contains(link.id) || lacks_revision(view, link),
    };
    selected || link.status.running() > 0
}

fn lacks_revision(view: &View, link: &Link) -> bool {
    let load = link.status.load();
    link.status.is_up() && load.is_some_and(|load| load.revision < view.revision())
}

fn address_changed(server: &Server, link: &Link) -> bool {
    (server.control, server.data) != (link.server.control, link.server.data)
}

/// Updates links and queues when configuration or VM list change, and periodically.
pub(crate) async fn run(core: Arc<Core>) {
    let mut revision = core.fleet.watch();
    let mut last_run = clock::now();
    loop {
        core.links.reconcile(&core);
        let now = clock::now();
        for queue in core.queues.all() {
            queue.promote(now);
            queue.record_fanout_growth(last_run, now);
        }
        last_run = now;
        let stall_ms = core.settings.limits.stall_ms;
        core.stall_monitor
            .drop_stalled(now.saturating_sub(stall_ms));
        tokio::select! {
            () = core.shutdown.terminate.cancelled() => break,
            changed = revision.changed() => {
                if changed.is_err() {
                    break;
                }
            }
            () = tokio::time::sleep(RECONCILE_INTERVAL) => {}
        }
    }
    for link in core.links.all() {
        link.stop();
    }
}
