//! Lists the routers and sidecars known to a router.

use std::collections::{BTreeMap, HashSet};

use mulberryyoke_command::api::{Node, Role};
use mulberryyoke_model as model;
use mulberryyoke_model::{Config, PoolId, ServerId, State};

use crate::fleet::PeerStatus;
use crate::router::core::Core;
use crate::router::inspect::Server;

/// Returns this router and its peers.
pub(crate) fn routers(core: &Core) -> Vec<Node> {
    let own = core.fleet.member();
    let this = Node {
        role: Role::Router,
        name: own.name.clone(),
        zone: own.zone.clone(),
        up: true,
        leaving: core.shutdown.refuse.is_cancelled() || core.fleet.is_leaving(&own.name),
        revision: Some(core.fleet.config().revision),
        pool: None,
        slots: None,
        free: None,
        started_at: Some(own.started_at),
    };
    let peers = core.fleet.peer_statuses();
    let peers = peers.iter().map(|status| peer(core, status));
    std::iter::once(this).chain(peers).collect()
}

fn peer(core: &Core, status: &PeerStatus) -> Node {
    let summary = status.last_summary.as_ref();
    Node {
        role: Role::Router,
        name: status.name.clone(),
        zone: summary.map_or_else(String::new, |summary| summary.member.zone.clone()),
        up: summary.is_some_and(|summary| summary.is_fresh),
        leaving: core.fleet.is_leaving(&status.name),
        revision: summary.map(|summary| summary.revision),
        pool: None,
        slots: None,
        free: None,
        started_at: summary.map(|summary| summary.member.started_at),
    }
}

/// Returns the configured servers that this router is linked or assigned to.
pub(crate) fn sidecars(core: &Core, linked: &[Server]) -> Vec<Node> {
    let config = core.fleet.config();
    let assigned = assigned(core, &config);
    let nodes = configured(&config).filter_map(|server| {
        let link = linked.iter().find(|link| link.name == server.name);
        let is_assigned = assigned.contains(&ServerId::of(&server.name));
        (link.is_some() || is_assigned).then(|| sidecar(core, server, link))
    });
    nodes.collect()
}

/// Returns the number of configured servers that [`sidecars`] does not list.
pub(crate) fn unseen(core: &Core, linked: &[Server]) -> usize {
    let all = configured(&core.fleet.config()).count();
    all.saturating_sub(sidecars(core, linked).len())
}

fn configured(config: &Config) -> impl Iterator<Item = &model::Server> {
    let servers = config.servers();
    servers.filter(|server| server.state != State::Removed)
}

/// Returns the router's subset of each pool, or the whole pool if it is no larger.
fn assigned(core: &Core, config: &Config) -> HashSet<ServerId> {
    let subset = usize::try_from(core.settings.limits.subset).unwrap_or(usize::MAX);
    let mut pools: BTreeMap<&str, Vec<ServerId>> = BTreeMap::new();
    for server in configured(config) {
        let pool = pools.entry(server.pool.as_str()).or_default();
        pool.push(ServerId::of(&server.name));
    }
    let assigned = pools.into_iter().flat_map(|(pool, servers)| {
        if servers.len() <= subset {
            return servers;
        }
        core.fleet.subset(PoolId::of(pool))
    });
    assigned.collect()
}

fn sidecar(core: &Core, server: &model::Server, link: Option<&Server>) -> Node {
    let up = link.is_some_and(|link| link.up);
    let reported = link.filter(|link| link.incarnation.is_some());
    let draining = server.state == State::Draining || reported.is_some_and(|link| link.draining);
    Node {
        role: Role::Sidecar,
        name: server.name.clone(),
        zone: server.zone.clone(),
        up,
        leaving: draining || core.fleet.is_leaving(&server.name),
        revision: reported.map(|link| link.revision),
        pool: Some(server.pool.clone()),
        slots: Some(reported.map_or(server.slots, |link| link.slots)),
        free: reported.filter(|_| up).map(|link| link.free),
        started_at: None,
    }
}
