//! Counts of calls.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts since the start. A watch counts as one call however long it waits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls by method.
    pub calls: BTreeMap<String, u64>,
    /// All calls together.
    pub total: u64,
    /// Watches that wait now.
    pub watching: u64,
    /// Answers lost after the write took effect.
    pub lost_answers: u64,
    /// The service's revision.
    pub revision: u64,
    /// Keys held.
    pub keys: usize,
}
