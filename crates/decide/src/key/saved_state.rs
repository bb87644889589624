//! What is handed from one life to the next about a key.

/// What is handed from one life to the next about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SavedState {
    /// It ran.
    Completed,
    /// It started and was cut off.
    Interrupted,
    /// It never runs here.
    Withdrawn,
    /// It may have run.
    Indeterminate,
}
