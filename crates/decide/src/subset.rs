//! Deterministic subsetting: which servers of a large pool a router stays connected to.
//!
//! Rendezvous hashing keeps the subset stable: adding or removing a server or router changes as few
//! connections as possible. Servers of the router's own zone are preferred, but some of other
//! zones are always included, so that queued work can reach idle servers there. The first few
//! routers of every server are guaranteed to include it, so that no server is left unconnected.

use std::cmp::Reverse;
use std::sync::Arc;

use mulberryyoke_model::{Server, ServerId, State};
use xxhash_rust::xxh3::xxh3_64;

use crate::rendezvous;

/// One in this many servers of a subset is of another zone.
const REMOTE_DIVISOR: usize = 4;

/// Number of routers that are guaranteed to include each server.
const MIN_ROUTERS: usize = 2;

/// Router that selects servers, and the size of its subset.
#[derive(Clone, Copy, Debug)]
pub struct Selector<'a> {
    /// Name of the router.
    pub router: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Names of all routers that are not suspect, including this one.
    pub routers: &'a [String],
    /// Size of the subset. It is exceeded only if more servers are guaranteed to this router, on
    /// average twice the number of servers divided by the number of routers.
    pub size: usize,
}

/// Selects the servers of a pool to stay connected to. Only active servers are eligible.
#[must_use]
pub fn select(selector: &Selector<'_>, servers: &[Arc<Server>]) -> Vec<ServerId> {
    let active = servers.iter().filter(|s| s.state == State::Active);
    let mut ranked: Vec<(&Server, u64)> = active
        .map(|server| (server.as_ref(), weight(selector.router, server)))
        .collect();
    if ranked.len() <= selector.size {
        return ids(&ranked);
    }
    ranked.sort_unstable_by_key(|(server, weight)| (Reverse(*weight), &server.name));
    let is_guaranteed = |server: &Server| is_guaranteed(selector, server);
    let (guaranteed, optional): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|(s, _)| is_guaranteed(s));
    let (local, remote): (Vec<_>, Vec<_>) = optional
        .into_iter()
        .partition(|(s, _)| s.zone == selector.zone);
    let remaining = selector.size.saturating_sub(guaranteed.len());
    let guaranteed_remote = guaranteed
        .iter()
        .filter(|(s, _)| s.zone != selector.zone)
        .count();
    let remote_quota = (selector.size / REMOTE_DIVISOR).saturating_sub(guaranteed_remote);
    let from_remote = remote_quota.min(remaining).min(remote.len());
    let from_local = (remaining - from_remote).min(local.len());
    let from_remote = remaining - from_local;
    let mut selected = guaranteed;
    selected.extend(local.into_iter().take(from_local));
    selected.extend(remote.into_iter().take(from_remote));
    ids(&selected)
}

/// Selects up to `max` additional servers to connect to while work is queued, among the `idle`
/// servers that peers reported. Routers select different ones.
#[must_use]
pub fn widen(
    selector: &Selector<'_>,
    servers: &[Arc<Server>],
    connected: &[ServerId],
    idle: &[ServerId],
    max: usize,
) -> Vec<ServerId> {
    let eligible = servers.iter().filter(|server| {
        let id = ServerId::of(&server.name);
        server.state == State::Active && idle.contains(&id) && !connected.contains(&id)
    });
    let mut ranked: Vec<(&Server, u64)> = eligible
        .map(|server| (server.as_ref(), weight(selector.router, server)))
        .collect();
    ranked.sort_unstable_by_key(|(server, weight)| {
        (server.zone != selector.zone, Reverse(*weight), &server.name)
    });
    ranked.truncate(max);
    ids(&ranked)
}

fn ids(servers: &[(&Server, u64)]) -> Vec<ServerId> {
    let ids = servers.iter().map(|(server, _)| ServerId::of(&server.name));
    ids.collect()
}

/// Returns whether this router is among the first [`MIN_ROUTERS`] of a server.
fn is_guaranteed(selector: &Selector<'_>, server: &Server) -> bool {
    let own = weight(selector.router, server);
    let others = selector.routers.iter().filter(|r| *r != selector.router);
    let ahead = others.filter(|router| weight(router, server) > own);
    ahead.take(MIN_ROUTERS).count() < MIN_ROUTERS
}

fn weight(router: &str, server: &Server) -> u64 {
    rendezvous::weight(
        xxh3_64(router.as_bytes()),
        u64::from(ServerId::of(&server.name).0),
    )
}
