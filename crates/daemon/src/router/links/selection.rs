//! Selects the sidecars to connect to.

use std::collections::{HashMap, HashSet};

use mulberryyoke_decide::view::View;
use mulberryyoke_model::{Millis, PoolId, Revision, Server, ServerId, State};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::router::core::Core;

/// Idle timeout of a link outside the router's subset, in milliseconds.
const ADDITIONAL_IDLE_TIMEOUT_MS: Millis = 60_000;

/// Interval at which the subset is recomputed even if configuration is unchanged,
/// because the set of routers may have changed, in milliseconds.
const REFRESH_MS: Millis = 10_000;

/// Minimum interval between recomputations of the subset, in milliseconds.
const MIN_REFRESH_MS: Millis = 100;

/// Time that requests wait without a free slot before the router connects to peers'
/// idle servers, in milliseconds.
const EXTEND_AFTER_MS: Millis = 500;

/// Maximum number of peers' idle servers to connect to at a time.
const MAX_PEER_SERVERS: usize = 4;

/// Number of routers that keep a link to a draining server.
const ROUTERS_PER_DRAINING_SERVER: usize = 2;

/// Maximum number of idle servers announced to peers.
const MAX_IDLE_SERVERS: usize = 8;

/// The router's subset of servers, and servers linked in addition.
#[derive(Debug, Default)]
pub(super) struct Selection {
    subset: HashSet<ServerId>,
    revision: Revision,
    refreshed_at: Millis,
    /// Servers linked in addition to the subset, with their time of last use.
    additional: HashMap<ServerId, Millis>,
    /// Since when requests of a pool have waited without a free slot.
    starved_since: HashMap<PoolId, Millis>,
}

impl Selection {
    /// Whether the router should be linked to the server.
    pub(super) fn contains(&self, server: ServerId) -> bool {
        self.subset.contains(&server) || self.additional.contains_key(&server)
    }

    /// Returns the servers to which the router should be linked.
    pub(super) fn servers(&self) -> impl Iterator<Item = ServerId> {
        self.subset.iter().chain(self.additional.keys()).copied()
    }

    /// Records the use of a server, which keeps its link open outside the subset.
    pub(super) fn record_use(&mut self, server: ServerId, now: Millis) {
        self.additional.insert(server, now);
    }

    /// Recomputes the subset if it is outdated, and expires additional links.
    pub(super) fn refresh(&mut self, core: &Core, now: Millis) {
        let view = core.fleet.view();
        let age = now.saturating_sub(self.refreshed_at);
        let changed = view.revision() != self.revision && age >= MIN_REFRESH_MS;
        if changed || age >= REFRESH_MS {
            let pools = view.pools().map(|pool| PoolId::of(&pool.name));
            self.subset = pools.flat_map(|pool| subset(core, &view, pool)).collect();
            self.revision = view.revision();
            self.refreshed_at = now;
        }
        for link in core.links.all() {
            if link.status.running() > 0
                && let Some(used_at) = self.additional.get_mut(&link.id)
            {
                *used_at = now;
            }
        }
        self.additional
            .retain(|_, used_at| now.saturating_sub(*used_at) < ADDITIONAL_IDLE_TIMEOUT_MS);
        for queue in core.queues.all() {
            self.extend(core, queue.pool, now);
        }
    }

    /// Adds idle servers of peers if requests have waited for [`EXTEND_AFTER_MS`].
    fn extend(&mut self, core: &Core, pool: PoolId, now: Millis) {
        if core.queues.get(pool).is_empty() || has_free_slot(core, pool) {
            self.starved_since.remove(&pool);
            return;
        }
        let since = *self.starved_since.entry(pool).or_insert(now);
        if now.saturating_sub(since) < EXTEND_AFTER_MS {
            return;
        }
        let linked = core.links.with_pool(pool, |links| {
            links.iter().map(|link| link.id).collect::<Vec<_>>()
        });
        for server in core.fleet.widen(pool, &linked, MAX_PEER_SERVERS) {
            self.record_use(server, now);
        }
    }
}

/// Returns the servers of a pool to stay connected to. Draining servers stay linked to
/// a few routers, from which they receive configuration changes.
fn subset(core: &Core, view: &View, pool: PoolId) -> Vec<ServerId> {
    let servers = view.servers(pool);
    let all = servers.len() <= core.settings.limits.subset as usize;
    let draining = servers
        .iter()
        .filter(|server| server.state == State::Draining);
    let linked = draining.filter(|server| all || should_link_draining(core, server));
    let mut subset = core.fleet.subset(pool);
    subset.extend(linked.map(|server| ServerId::of(&server.name)));
    subset
}

fn should_link_draining(core: &Core, server: &Server) -> bool {
    let seed = u64::from(ServerId::of(&server.name).0);
    let weight = |router: &str| xxh3_64_with_seed(router.as_bytes(), seed);
    let own = weight(&core.settings.name);
    let members = core.fleet.members();
    let higher = members.iter().filter(|member| weight(&member.name) > own);
    higher.count() < ROUTERS_PER_DRAINING_SERVER
}

fn has_free_slot(core: &Core, pool: PoolId) -> bool {
    core.links.with_pool(pool, |links| {
        let mut links = links.iter();
        links.any(|link| link.status.is_eligible() && link.status.free_slots() > 0)
    })
}

/// Returns idle servers to announce to peers, those with the most free slots first.
pub(super) fn idle_servers(core: &Core) -> Vec<ServerId> {
    let links = core.links.all().into_iter();
    let mut idle: Vec<(u32, ServerId)> = links
        .filter(|link| link.status.is_eligible() && core.queues.get(link.pool).is_empty())
        .map(|link| (link.status.free_slots(), link.id))
        .filter(|(free, _)| *free > 0)
        .collect();
    idle.sort_unstable_by(|a, b| b.cmp(a));
    idle.truncate(MAX_IDLE_SERVERS);
    idle.into_iter().map(|(_, server)| server).collect()
}
