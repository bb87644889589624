//! A configured object.

use mulberryyoke_model::{Object, Revision};
use serde::{Deserialize, Serialize};

/// A configured object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Key below the configuration prefix.
    pub key: String,
    /// Revision of its latest write.
    pub revision: Revision,
    /// The object.
    pub object: Object,
}
