//! What a router answers to its peers.

use std::pin::Pin;

use mulberryyoke_model::{Attempt, KeyId, Millis, Outcome, ServerId};

/// Answers questions about this router's own requests.
pub trait LocalRequests: Send + Sync {
    /// What became of a request that this router took.
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>>;

    /// When this router's memory of keys begins, and the keys that it sent to a
    /// server since an instant and that are not proved not run.
    fn keys(&self, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>);
}
