//! Key states handed over to the next incarnation.

/// State of a key in the record left for the next incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SavedState {
    /// The request completed.
    Completed,
    /// The request started and was interrupted.
    Interrupted,
    /// The key was withdrawn and must not run on this server.
    Withdrawn,
    /// The request may have run.
    Indeterminate,
}
