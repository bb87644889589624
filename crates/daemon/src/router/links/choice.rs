//! Which sidecars the router wants to be connected to.

use std::collections::{HashMap, HashSet};

use mulberryyoke_decide::view::View;
use mulberryyoke_model::{Millis, PoolId, Revision, Server, ServerId, State};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::router::core::Core;

/// How long a link beyond the router's subset is kept after its last use, in
/// milliseconds.
const EXTRA_MS: Millis = 60_000;

/// Time after which the subset is chosen anew though no configuration has
/// changed, because routers come and go, in milliseconds.
const REFRESH_MS: Millis = 10_000;

/// Least time between two choices of the subset, in milliseconds.
const LEAST_MS: Millis = 100;

/// How long work waits without a free slot before peers' idle servers are
/// connected to, in milliseconds.
const WIDEN_MS: Millis = 500;

/// Peers' idle servers connected to at a time.
const WIDEN_MOST: usize = 4;

/// Routers that hold a server that leaves.
const HOLDERS: usize = 2;

/// Idle servers that peers are told of.
const HINTS: usize = 8;

/// The router's subset, and links beyond it.
#[derive(Debug, Default)]
pub(super) struct Choice {
    subset: HashSet<ServerId>,
    revision: Revision,
    chosen_at: Millis,
    /// Links beyond the subset, with their last use.
    extra: HashMap<ServerId, Millis>,
    /// Since when work of a pool waits without a free slot.
    hungry: HashMap<PoolId, Millis>,
}

impl Choice {
    /// Whether a link to the server is wanted.
    pub(super) fn wants(&self, server: ServerId) -> bool {
        self.subset.contains(&server) || self.extra.contains_key(&server)
    }

    /// Every server wanted.
    pub(super) fn wanted(&self) -> impl Iterator<Item = ServerId> {
        self.subset.iter().chain(self.extra.keys()).copied()
    }

    /// Notes that a server beyond the subset is used.
    pub(super) fn require(&mut self, server: ServerId, now: Millis) {
        self.extra.insert(server, now);
    }

    /// Chooses anew what has become old.
    pub(super) fn refresh(&mut self, core: &Core, now: Millis) {
        let view = core.fleet.view();
        let age = now.saturating_sub(self.chosen_at);
        let changed = view.revision() != self.revision && age >= LEAST_MS;
        if changed || age >= REFRESH_MS {
            let pools = view.pools().map(|pool| PoolId::of(&pool.name));
            self.subset = pools.flat_map(|pool| subset(core, &view, pool)).collect();
            self.revision = view.revision();
            self.chosen_at = now;
        }
        for link in core.links.all() {
            if link.standing.running() > 0
                && let Some(used_at) = self.extra.get_mut(&link.id)
            {
                *used_at = now;
            }
        }
        self.extra
            .retain(|_, used_at| now.saturating_sub(*used_at) < EXTRA_MS);
        for room in core.rooms.all() {
            self.widen(core, room.pool, now);
        }
    }

    /// Connects to idle servers of peers while work has waited long enough.
    fn widen(&mut self, core: &Core, pool: PoolId, now: Millis) {
        if core.rooms.get(pool).is_empty() || has_free(core, pool) {
            self.hungry.remove(&pool);
            return;
        }
        let since = *self.hungry.entry(pool).or_insert(now);
        if now.saturating_sub(since) < WIDEN_MS {
            return;
        }
        let held = core.links.of(pool, |links| {
            links.iter().map(|link| link.id).collect::<Vec<_>>()
        });
        for server in core.fleet.widen(pool, &held, WIDEN_MOST) {
            self.require(server, now);
        }
    }
}

/// Servers of a pool to stay connected to. Those that leave are held by a few
/// routers, from which they learn of changes.
fn subset(core: &Core, view: &View, pool: PoolId) -> Vec<ServerId> {
    let servers = view.servers(pool);
    let all = servers.len() <= core.settings.limits.subset as usize;
    let leaving = servers
        .iter()
        .filter(|server| server.state == State::Draining);
    let held = leaving.filter(|server| all || is_holder(core, server));
    let mut subset = core.fleet.subset(pool);
    subset.extend(held.map(|server| ServerId::of(&server.name)));
    subset
}

fn is_holder(core: &Core, server: &Server) -> bool {
    let seed = u64::from(ServerId::of(&server.name).0);
    let weight = |router: &str| xxh3_64_with_seed(router.as_bytes(), seed);
    let own = weight(&core.settings.name);
    let members = core.fleet.members();
    let before = members.iter().filter(|member| weight(&member.name) > own);
    before.count() < HOLDERS
}

fn has_free(core: &Core, pool: PoolId) -> bool {
    core.links.of(pool, |links| {
        let mut links = links.iter();
        links.any(|link| link.standing.is_open() && link.standing.free() > 0)
    })
}

/// Servers that this router can spare, those with the most free slots first.
pub(super) fn spare(core: &Core) -> Vec<ServerId> {
    let links = core.links.all().into_iter();
    let mut spare: Vec<(u32, ServerId)> = links
        .filter(|link| link.standing.is_open() && core.rooms.get(link.pool).is_empty())
        .map(|link| (link.standing.free(), link.id))
        .filter(|(free, _)| *free > 0)
        .collect();
    spare.sort_unstable_by(|one, other| other.cmp(one));
    spare.truncate(HINTS);
    spare.into_iter().map(|(_, server)| server).collect()
}
