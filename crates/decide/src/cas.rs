//! What became of a write whose answer was lost, or which found another value.
//!
//! Every entry names its own command and the writes before it. So a later
//! reading tells whether a command's compare-and-swap took effect, also after
//! others have written, as long as the kept writes reach back far enough.

use mulberryyoke_model::{Entry, Revision, Write};

/// Earlier writes that an entry keeps.
pub const MAX_HISTORY: usize = 8;

/// What is known of a command's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Written {
        /// Its revision.
        revision: Revision,
        /// Revision of what stands there now, when that is a later write.
        replaced: Option<Revision>,
    },
    /// It has not taken effect; the same compare-and-swap may be sent again.
    NotApplied,
    /// Another write took its place; it did not take effect and never will.
    Conflict,
    /// The kept writes do not reach back far enough.
    Unknown,
}

/// Finds a command among the latest write of a key and those before it.
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

/// Tells what became of a command's compare-and-swap that expected the key to
/// be as of `expected` (`None`: absent), from what is there now.
#[must_use]
pub fn resolve(
    command: u64,
    expected: Option<Revision>,
    found: Option<(&Entry, Revision)>,
) -> Outcome {
    let Some((entry, revision)) = found else {
        // Only the record of something removed is deleted, and long after.
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
    let whole = match expected {
        Some(expected) => entry.earlier.iter().any(|write| write.revision == expected),
        None => entry.earlier.len() < MAX_HISTORY,
    };
    if whole {
        Outcome::Conflict
    } else {
        Outcome::Unknown
    }
}

/// The writes before a new one that follows `entry`, newest first.
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
