//! Pools of servers.

use mulberryyoke_model::PoolId;

/// Servers that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its identity, a hash of the name.
    pub id: PoolId,
    /// Its name.
    pub name: String,
    /// Path under which a server tells its health.
    pub health_path: String,
    /// Most connections that one server takes, from all routers together.
    pub max_connections: u32,
    /// What its model servers are like; `None` for a plain service.
    pub model: Option<Model>,
    /// What its servers bear while they are cold; `None` where none ever is.
    pub cold: Option<ColdStart>,
}

/// What the servers of a pool bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a server is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests a second that it is made for meanwhile, from all gateways together.
    pub requests_per_s: f64,
}

/// What the model servers of a pool are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Model {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into a server's memory.
    pub memory_tokens: u32,
}
