//! Resolves the outcome of a compare-and-swap whose response was lost or reported a conflict.
//!
//! Every entry records its own command and the writes before it. A later read therefore shows
//! whether a command took effect, even after others have written, as long as the history reaches
//! back far enough.

use mulberryyoke_model::{Entry, Revision, Write};

/// Maximum number of earlier writes recorded in an entry.
pub const MAX_HISTORY: usize = 8;

/// Outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Written {
        /// Revision of the write.
        revision: Revision,
        /// Current revision, if the value has been overwritten since.
        replaced: Option<Revision>,
    },
    /// It has not taken effect; the same compare-and-swap may be retried.
    NotApplied,
    /// It lost to another write and can no longer take effect.
    Conflict,
    /// The history does not reach back far enough.
    Unknown,
}

/// Finds a command among the current write of a key and its history.
#[must_use]
pub fn find(command: u64, found: &Entry, revision: Revision) -> Option<Outcome> {
    if found.command == command {
        let replaced = None;
        return Some(Outcome::Written { revision, replaced });
    }
    let mut earlier = found.earlier.iter();
    let write = earlier.find(|write| write.command == command)?;
    Some(Outcome::Written {
        revision: write.revision,
        replaced: Some(revision),
    })
}

/// Resolves the outcome of a command's compare-and-swap from the current state of the key.
/// `expected` is the revision it compared against, `None` for an absent key.
#[must_use]
pub fn resolve(
    command: u64,
    expected: Option<Revision>,
    found: Option<(&Entry, Revision)>,
) -> Outcome {
    let Some((entry, revision)) = found else {
        // Removal leaves a tombstone, which is deleted only long afterwards.
        return match expected {
            None => Outcome::NotApplied,
            Some(_) => Outcome::Unknown,
        };
    };
    if expected == Some(revision) {
        return Outcome::NotApplied;
    }
    if let Some(written) = find(command, entry, revision) {
        return written;
    }
    let is_complete = match expected {
        Some(expected) => entry.earlier.iter().any(|write| write.revision == expected),
        None => entry.earlier.len() < MAX_HISTORY,
    };
    if is_complete {
        Outcome::Conflict
    } else {
        Outcome::Unknown
    }
}

/// Returns the history for a write that follows `entry`, newest first.
#[must_use]
pub fn history(entry: &Entry, revision: Revision) -> Vec<Write> {
    let last = Write {
        revision,
        command: entry.command,
        operator: entry.operator.clone(),
        at: entry.at,
        words: entry.words.clone(),
    };
    let earlier = entry.earlier.iter().take(MAX_HISTORY - 1).cloned();
    std::iter::once(last).chain(earlier).collect()
}
