//! Instances of routers.

use mulberryyoke_model::{Incarnation, Millis};

/// One run of a router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique identifier of the run.
    pub incarnation: Incarnation,
    /// Start time.
    pub started_at: Millis,
}
