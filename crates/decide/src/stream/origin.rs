//! What a stream began on.

use mulberryyoke_model::{PoolId, VersionId};
use serde::{Deserialize, Serialize};

/// What a stream began on, and must go on with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Pool of the server that sent the first event.
    pub pool: PoolId,
    /// Version of the server's software.
    pub version: VersionId,
}
