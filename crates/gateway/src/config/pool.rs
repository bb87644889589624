//! Server pools.

use mulberryyoke_decide::engine::Transfer;
use mulberryyoke_model::PoolId;

/// A set of interchangeable servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Hash of the name.
    pub id: PoolId,
    /// Configured name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Maximum connections per server, over all routers.
    pub max_connections: u32,
    /// Capacity of each model server; `None` for a plain service.
    pub model: Option<Model>,
    /// Limit of servers that have just started; `None` if they need no warm-up.
    pub cold: Option<ColdStart>,
}

/// Request limit of a server that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Duration of the cold period after the start, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second during the cold period, over all gateways.
    pub requests_per_s: f64,
}

/// Capacity of a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Model {
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Size of the KV cache, in tokens.
    pub memory_tokens: u32,
    /// Transfer of cached prompt parts between the servers; `None` if they fetch nothing.
    pub transfer: Option<Transfer>,
}
