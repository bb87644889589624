//! Statistics of calls.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Statistics since the start. A watch counts as one call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls by method.
    pub calls: BTreeMap<String, u64>,
    /// Total calls.
    pub total: u64,
    /// Open watches.
    pub watching: u64,
    /// Writes that took effect but whose response was dropped.
    pub lost_answers: u64,
    /// Current revision.
    pub revision: u64,
    /// Number of keys.
    pub keys: usize,
}
