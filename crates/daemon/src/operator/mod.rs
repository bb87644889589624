//! Operator API: health, metrics and the execution of commands.
//!
//! A change is one compare-and-swap of one key. The value records the command
//! that wrote it and the writes before it, so a command can be retried after a
//! lost response, and a conflict reports the command that wrote the key.

mod access;
mod api;
mod author;
mod error;
mod executor;
mod gauges;
mod handler;
mod plan;
mod query;
mod router_state;
mod snapshot;
mod store;

pub use api::{Api, Options};
pub use error::Error;
pub use router_state::RouterState;
