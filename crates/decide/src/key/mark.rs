//! What is handed from one life to the next about a key.

/// What is handed from one life to the next about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// It ran.
    Ran,
    /// It started and was cut off.
    Cut,
    /// It never runs here.
    Barred,
    /// It may have run.
    Doubtful,
}
