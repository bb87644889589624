//! Why a waiting prompt cannot be sent yet.

/// Why a waiting prompt cannot be sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The servers that may run it are full.
    Room,
    /// Its customer is above its share; prompts of others may be sent.
    Share,
}
