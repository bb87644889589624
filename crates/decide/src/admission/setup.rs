//! What a sidecar's decisions are opened with.

use mulberryyoke_model::{Incarnation, Kind, Millis, PoolId, ServerId};

/// In what order a server's capacity is given out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheduling {
    /// By weighted service; no more requests run than there are slots.
    Fair,
    /// At once, without order; queues form inside the engine.
    Immediate,
}

/// Fixed facts of one sidecar life.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The server.
    pub server: ServerId,
    /// Its pool.
    pub pool: PoolId,
    /// What the backend is.
    pub kind: Kind,
    /// The sidecar's life.
    pub incarnation: Incarnation,
    /// When that life began.
    pub started_at: Millis,
    /// Requests that the backend runs at once.
    pub slots: u32,
    /// In what order they are given out.
    pub scheduling: Scheduling,
    /// How long keys and attempts are remembered, in milliseconds.
    pub retention_ms: Millis,
}
