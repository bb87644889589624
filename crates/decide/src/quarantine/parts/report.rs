//! Report on a prompt part, exchanged between gateways.

use serde::{Deserialize, Serialize};

use super::Subject;
use crate::quarantine::Crash;

/// What a gateway knows about a prompt part that may crash servers. Times are sent as ages, so
/// that clocks need not agree. Merging a report is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The part.
    pub subject: Subject,
    /// Server instances that crashed when they began to write an answer on it.
    pub crashes: Vec<Crash>,
    /// Time since an answer was last written on it, in milliseconds.
    pub run_age_ms: Option<u64>,
}

impl Report {
    /// Creates an empty report.
    #[must_use]
    pub const fn new(subject: Subject) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            run_age_ms: None,
        }
    }
}
