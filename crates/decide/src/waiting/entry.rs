//! A waiting prompt.

use mulberryyoke_model::{CustomerId, Millis, VersionId};

/// A waiting prompt with a payload `T`.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// The customer that sent it.
    pub customer: CustomerId,
    /// Priority of its route or customer; 0 is the highest.
    pub priority: u8,
    /// Whether it resumes a stream that has begun.
    pub is_resumption: bool,
    /// The only version whose servers may run it; `None` if any may.
    pub version: Option<VersionId>,
    /// When its caller gives up.
    pub deadline: Millis,
    /// When it has to be sent or refused.
    pub until: Millis,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Memory that it takes while it waits, in bytes.
    pub bytes: usize,
    /// Data of the queue's user.
    pub payload: T,
}
