//! Servers as they register.

use std::net::SocketAddr;

use mulberryyoke_model::{PoolId, ServerId};

/// A backend server as it registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The identity of this life of it, a hash of the name and of when it started.
    pub id: ServerId,
    /// Its name.
    pub name: String,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When it started, in milliseconds since 1970, if it tells: a later life of the same name
    /// keeps and runs nothing of the one before.
    pub started_ms: Option<u64>,
    /// How much longer it is cold, in milliseconds from its registration; 0 if it is not.
    pub cold_left_ms: u64,
    /// Whether it leaves and must get nothing new.
    pub is_leaving: bool,
}
