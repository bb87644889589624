//! Whether an instance lived on after the end of a connection.

/// Whether an instance lived on after the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answered something that was sent after the end.
    Survived,
    /// Something that was sent after the end found it gone.
    Gone,
    /// Nothing proves either.
    Unknown,
}
