//! What the operators' port needs to know of its router.

use std::pin::Pin;
use std::sync::Arc;

use mulberryyoke_command as command;
use mulberryyoke_command::answer::{Node, Tally, Waiting};
use mulberryyoke_model::{Attempt, Config, Outcome};

/// The router as the operators' port sees it.
pub trait RouterState: Send + Sync {
    /// Name of the router.
    fn name(&self) -> &str;

    /// Whether it takes callers' requests.
    fn is_ready(&self) -> bool;

    /// Whether the key-value service answered when it was last asked.
    fn is_kv_up(&self) -> bool;

    /// The configuration in force on it.
    fn config(&self) -> Arc<Config>;

    /// Every node it knows, itself included.
    fn nodes(&self) -> Vec<Node>;

    /// Servers that it is not meant to be connected to.
    fn unseen(&self) -> usize;

    /// Bytes read and written on control links.
    fn control_bytes(&self) -> (u64, u64);

    /// Counts of its requests.
    fn tally(&self) -> Tally;

    /// Its waiting requests.
    fn waiting(&self, query: &command::Waiting) -> Waiting;

    /// What became of a request of any router.
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>>;
}
