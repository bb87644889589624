//! Home servers of idempotency keys.
//!
//! A request that must run at most once runs only at the home of its key: the
//! server with the highest rendezvous weight among the active servers of the pool.
//! A former home within the key retention time may have run the key already, so the
//! router has to withdraw the key there first.

use std::cmp::Reverse;
use std::sync::Arc;

use mulberryyoke_model::{KeyId, Millis, Server, ServerId, State};

use crate::rendezvous;

/// Current and former homes of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// The current home; `None` if no server is active.
    pub current: Option<ServerId>,
    /// Other servers that may have been the home within the retention time, in
    /// descending order of weight.
    pub former: Vec<ServerId>,
}

/// Finds the homes of a key among all servers of its pool, including removed ones.
///
/// A server's record only has the times when it was added and when its state last
/// changed. An active server is known to have been active since the later of the
/// two, but may have been active since `added_at`. Any other server may have been
/// active from `added_at` to `changed_at`. Servers are visited in descending order
/// of weight, up to the first one that was active during the whole retention time:
/// no server after it can have been the home.
#[must_use]
pub fn find(servers: &[Arc<Server>], key: KeyId, now: Millis, retention_ms: u64) -> Homes {
    let start = now.saturating_sub(retention_ms);
    let mut homes = Homes::default();
    // End of the period in which a server of lower weight may have been the home.
    let mut undetermined_until = now;
    for server in ranked(servers, key) {
        let active = server.state == State::Active;
        let id = ServerId::of(&server.name);
        if active && homes.current.is_none() {
            homes.current = Some(id);
        } else if may_have_been_active(server, start, undetermined_until) {
            homes.former.push(id);
        }
        if active {
            undetermined_until = undetermined_until.min(active_since(server));
        }
        if homes.current.is_some() && undetermined_until <= start {
            break;
        }
    }
    homes
}

/// Earliest time since which an active server is known to have been active.
fn active_since(server: &Server) -> Millis {
    server.added_at.max(server.changed_at)
}

fn may_have_been_active(server: &Server, start: Millis, end: Millis) -> bool {
    if server.added_at > end {
        return false;
    }
    server.state == State::Active || server.changed_at >= start
}

fn ranked(servers: &[Arc<Server>], key: KeyId) -> Vec<&Server> {
    let mut ranked: Vec<&Server> = servers.iter().map(AsRef::as_ref).collect();
    ranked.sort_by_cached_key(|server| Reverse(weight(server, key)));
    ranked
}

fn weight(server: &Server, key: KeyId) -> (u64, ServerId) {
    let id = ServerId::of(&server.name);
    (rendezvous::weight(u64::from(id.0), key.0), id)
}
