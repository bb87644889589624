//! Servers as they register.

use std::net::SocketAddr;

use mulberryyoke_model::{PoolId, ServerId};

/// A backend server as it registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its identity, a hash of the name.
    pub id: ServerId,
    /// Its name; each start has another.
    pub name: String,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves and must get nothing new.
    pub is_leaving: bool,
}
