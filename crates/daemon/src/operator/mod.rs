//! The operators' port: health, metrics and the execution of commands.
//!
//! A change is one compare-and-swap of one key. The value names the command
//! that wrote it and the writes before it, so a command can be sent again when
//! its answer was lost, and an operator who lost a race learns to whom.

mod access;
mod api;
mod author;
mod error;
mod execute;
mod gauge;
mod held;
mod plan;
mod query;
mod respond;
mod router_state;
mod store;

pub use api::{Api, Options};
pub use error::Error;
pub use router_state::RouterState;
