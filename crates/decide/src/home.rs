//! Homes of idempotency keys.
//!
//! A request that may run at most once runs only at its key's home: among the
//! servers of its pool that take new work, the one with the highest rendezvous
//! weight. A server that was home earlier within the key retention time may
//! have run the key; it has to give a withdrawal first.

use std::cmp::Reverse;
use std::sync::Arc;

use mulberryyoke_model::{KeyId, Millis, Server, ServerId, State};

use crate::rendezvous;

/// Where a key may run now, and where it may have run before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// The home now; `None` when no server takes new work.
    pub current: Option<ServerId>,
    /// Every other server that may have been home within the retention time, the
    /// highest weight first.
    pub former: Vec<ServerId>,
}

/// Finds the homes of a key among all servers of its pool, removed ones included.
///
/// A server's record tells when it was added and when its state last changed, not
/// what lay between. So it may have been active from `added_at` on, until
/// `changed_at` if it is active no more, but surely was only from the later of the
/// two on, if it is active now. Servers are visited by falling weight; one that
/// surely was active in the whole window hides all that come after it.
#[must_use]
pub fn find(servers: &[Arc<Server>], key: KeyId, now: Millis, retention_ms: u64) -> Homes {
    let start = now.saturating_sub(retention_ms);
    let mut homes = Homes::default();
    // The window's part in which a server of less weight may have been home.
    let mut open_until = now;
    for server in ranked(servers, key) {
        let active = server.state == State::Active;
        let id = ServerId::of(&server.name);
        if active && homes.current.is_none() {
            homes.current = Some(id);
        } else if may_have_been_active(server, start, open_until) {
            homes.former.push(id);
        }
        if active {
            open_until = open_until.min(active_since(server));
        }
        if homes.current.is_some() && open_until <= start {
            break;
        }
    }
    homes
}

/// From when on an active server surely was active.
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
