//! Router state that the operator API reports.

use std::pin::Pin;
use std::sync::Arc;

use mulberryyoke_command as command;
use mulberryyoke_command::api::{Counts, Node, WaitingList};
use mulberryyoke_model::{Attempt, Config, Outcome};

/// State of the router behind the operator API.
pub trait RouterState: Send + Sync {
    /// Name of the router.
    fn name(&self) -> &str;

    /// Whether the router accepts callers' requests.
    fn is_ready(&self) -> bool;

    /// Whether the last call to the key-value service succeeded.
    fn is_kv_up(&self) -> bool;

    /// Configuration that the router has applied.
    fn config(&self) -> Arc<Config>;

    /// All known nodes, including this router.
    fn nodes(&self) -> Vec<Node>;

    /// Number of servers that this router is not assigned to connect to.
    fn unseen(&self) -> usize;

    /// Bytes read from and written to control links.
    fn control_bytes(&self) -> (u64, u64);

    /// Request counts.
    fn tally(&self) -> Counts;

    /// Waiting requests that match a query.
    fn waiting(&self, query: &command::Waiting) -> WaitingList;

    /// Outcome of a request of any router.
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>>;
}
