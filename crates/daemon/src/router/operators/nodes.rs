//! The nodes that a router knows of.

use std::collections::BTreeMap;

use mulberryyoke_command::answer::{Node, Role};
use mulberryyoke_model as model;
use mulberryyoke_model::State;

use crate::fleet::Standing;
use crate::router::core::Core;
use crate::router::inspect::Server;

/// This router and every other of the VM list.
pub(crate) fn routers(core: &Core) -> Vec<Node> {
    let own = core.fleet.member();
    let this = Node {
        role: Role::Router,
        name: own.name.clone(),
        zone: own.zone.clone(),
        up: true,
        leaving: core.stop.refuse.is_cancelled() || core.fleet.is_leaving(&own.name),
        revision: Some(core.fleet.config().revision),
        pool: None,
        slots: None,
        free: None,
        started_at: Some(own.started_at),
    };
    let peers = core.fleet.standings();
    let peers = peers.iter().map(|standing| peer(core, standing));
    std::iter::once(this).chain(peers).collect()
}

fn peer(core: &Core, standing: &Standing) -> Node {
    let heard = standing.heard.as_ref();
    Node {
        role: Role::Router,
        name: standing.name.clone(),
        zone: heard.map_or_else(String::new, |heard| heard.member.zone.clone()),
        up: heard.is_some_and(|heard| heard.fresh),
        leaving: core.fleet.is_leaving(&standing.name),
        revision: heard.map(|heard| heard.revision),
        pool: None,
        slots: None,
        free: None,
        started_at: heard.map(|heard| heard.member.started_at),
    }
}

/// Every configured server that this router is meant to be connected to.
pub(crate) fn sidecars(core: &Core, linked: &[Server]) -> Vec<Node> {
    let config = core.fleet.config();
    let subset = subset(core);
    let pools = pools(&config);
    let present = config
        .servers()
        .filter(|server| server.state != State::Removed);
    let nodes = present.filter_map(|server| {
        let link = linked.iter().find(|link| link.name == server.name);
        let whole = pools
            .get(server.pool.as_str())
            .is_none_or(|count| *count <= subset);
        (link.is_some() || whole).then(|| sidecar(core, server, link))
    });
    nodes.collect()
}

/// Servers that this router is not meant to be connected to.
pub(crate) fn unseen(core: &Core) -> usize {
    let config = core.fleet.config();
    let subset = subset(core);
    pools(&config)
        .values()
        .map(|count| count.saturating_sub(subset))
        .sum()
}

fn subset(core: &Core) -> usize {
    usize::try_from(core.settings.limits.subset).unwrap_or(usize::MAX)
}

/// Servers by pool.
fn pools(config: &model::Config) -> BTreeMap<&str, usize> {
    let mut pools = BTreeMap::new();
    for server in config.servers() {
        if server.state != State::Removed {
            *pools.entry(server.pool.as_str()).or_default() += 1;
        }
    }
    pools
}

fn sidecar(core: &Core, server: &model::Server, link: Option<&Server>) -> Node {
    let up = link.is_some_and(|link| link.up);
    let heard = link.filter(|link| link.incarnation.is_some());
    let draining = server.state == State::Draining || heard.is_some_and(|link| link.draining);
    Node {
        role: Role::Sidecar,
        name: server.name.clone(),
        zone: server.zone.clone(),
        up,
        leaving: draining || core.fleet.is_leaving(&server.name),
        revision: heard.map(|link| link.revision),
        pool: Some(server.pool.clone()),
        slots: Some(heard.map_or(server.slots, |link| link.slots)),
        free: heard.filter(|_| up).map(|link| link.free),
        started_at: None,
    }
}
