//! Peers' queries about a router's own requests.

use std::pin::Pin;

use mulberryyoke_model::{Attempt, KeyId, Millis, Outcome, ServerId};

/// Answers queries about this router's own requests.
pub trait LocalRequests: Send + Sync {
    /// Outcome of a request that this router received.
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>>;

    /// The time since which this router has a complete record of keys, and the keys
    /// that it sent to a server since `since`, except those known not to have run.
    fn keys(&self, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>);
}
