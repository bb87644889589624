//! Configuration entries.

use mulberryyoke_model::{Object, Revision};
use serde::{Deserialize, Serialize};

/// Object under a key, with the revision of its latest write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Key under the configuration prefix.
    pub key: String,
    /// Revision of its latest write.
    pub revision: Revision,
    /// Current object.
    pub object: Object,
}
