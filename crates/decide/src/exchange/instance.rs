//! Lives of routers.

use mulberryyoke_model::{Incarnation, Millis};

/// One life of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its identity.
    pub incarnation: Incarnation,
    /// When it began.
    pub started_at: Millis,
}
