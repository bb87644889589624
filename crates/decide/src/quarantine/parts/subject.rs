//! What evidence by prompt part is held against.

use mulberryyoke_model::VersionId;
use serde::{Deserialize, Serialize};

use crate::engine::PartId;

/// A prompt part at servers of one version, as another version may not crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The part.
    pub part: PartId,
    /// The version of the servers.
    pub version: VersionId,
}
