//! The operators' port: health, metrics and the execution of commands.
//!
//! A change is one compare-and-swap of one key. The value names the command
//! that wrote it and the writes before it, so a command can be sent again when
//! its answer was lost, and an operator who lost a race learns to whom.

mod access;
mod author;
mod error;
mod execute;
mod gauge;
mod held;
mod plan;
mod port;
mod query;
mod respond;
mod source;
mod store;

pub use error::Error;
pub use port::{Operator, Setup};
pub use source::Source;
