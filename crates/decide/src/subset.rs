//! Which servers of a large pool a router stays connected to.
//!
//! Rendezvous hashing makes the choice stable: a server or router that comes or
//! goes changes only what it must. Servers of the router's own zone come first, but
//! some of other zones are always held, so that a zone's waiting work reaches idle
//! servers elsewhere. Of every server the first few routers hold it for certain, so
//! that none is left without.

use std::cmp::Reverse;
use std::sync::Arc;

use mulberryyoke_model::{Server, ServerId, State};
use xxhash_rust::xxh3::xxh3_64;

use crate::rendezvous;

/// Share of the subset that goes to other zones: one in this many.
const REMOTE: usize = 4;

/// Routers that hold each server for certain.
const HOLDERS: usize = 2;

/// Who chooses, and how many.
#[derive(Clone, Copy, Debug)]
pub struct Selector<'a> {
    /// Name of the router.
    pub router: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Names of all routers that are not suspect, this one included.
    pub routers: &'a [String],
    /// Servers to hold. More are held only where each server's certain holders need it:
    /// twice the number of servers divided by that of routers, on average.
    pub size: usize,
}

/// Chooses among the servers of a pool those to stay connected to; servers that do
/// not take new work are left out.
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
    let is_held = |server: &Server| is_holder(selector, server);
    let (held, free): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(s, _)| is_held(s));
    let (local, remote): (Vec<_>, Vec<_>) =
        free.into_iter().partition(|(s, _)| s.zone == selector.zone);
    let left = selector.size.saturating_sub(held.len());
    let held_remote = held.iter().filter(|(s, _)| s.zone != selector.zone).count();
    let quota = (selector.size / REMOTE).saturating_sub(held_remote);
    let from_remote = quota.min(left).min(remote.len());
    let from_local = (left - from_remote).min(local.len());
    let from_remote = left - from_local;
    let mut chosen = held;
    chosen.extend(local.into_iter().take(from_local));
    chosen.extend(remote.into_iter().take(from_remote));
    ids(&chosen)
}

/// Chooses, among servers that peers said have free slots, some to connect to as well
/// while work waits here. Routers choose differently.
#[must_use]
pub fn widen(
    selector: &Selector<'_>,
    servers: &[Arc<Server>],
    held: &[ServerId],
    idle: &[ServerId],
    most: usize,
) -> Vec<ServerId> {
    let useful = servers.iter().filter(|server| {
        let id = ServerId::of(&server.name);
        server.state == State::Active && idle.contains(&id) && !held.contains(&id)
    });
    let mut ranked: Vec<(&Server, u64)> = useful
        .map(|server| (server.as_ref(), weight(selector.router, server)))
        .collect();
    ranked.sort_unstable_by_key(|(server, weight)| {
        (server.zone != selector.zone, Reverse(*weight), &server.name)
    });
    ranked.truncate(most);
    ids(&ranked)
}

fn ids(servers: &[(&Server, u64)]) -> Vec<ServerId> {
    let ids = servers.iter().map(|(server, _)| ServerId::of(&server.name));
    ids.collect()
}

/// Whether the selector is among the first routers of a server.
fn is_holder(selector: &Selector<'_>, server: &Server) -> bool {
    let own = weight(selector.router, server);
    let others = selector.routers.iter().filter(|r| *r != selector.router);
    let ahead = others.filter(|router| weight(router, server) > own);
    ahead.take(HOLDERS).count() < HOLDERS
}

fn weight(router: &str, server: &Server) -> u64 {
    rendezvous::weight(
        xxh3_64(router.as_bytes()),
        u64::from(ServerId::of(&server.name).0),
    )
}
