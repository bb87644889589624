//! Parameters of the admission state.

use mulberryyoke_model::{Incarnation, Kind, Millis, PoolId, ServerId};

/// Scheduling policy for waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheduling {
    /// Weighted fair order, with at most one running request per slot.
    Fair,
    /// Every request starts immediately and queues in the backend.
    Immediate,
}

/// Parameters fixed for one sidecar incarnation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Server of the sidecar.
    pub server: ServerId,
    /// Pool of the server.
    pub pool: PoolId,
    /// Kind of backend.
    pub kind: Kind,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Start time of the incarnation.
    pub started_at: Millis,
    /// Number of requests that the backend runs concurrently.
    pub slots: u32,
    /// Scheduling policy.
    pub scheduling: Scheduling,
    /// Retention time of keys and attempts, in milliseconds.
    pub retention_ms: Millis,
}
