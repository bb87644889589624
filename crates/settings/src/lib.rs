//! Settings of the daemon: JSON files, read and checked as a whole.

mod error;
mod limits;
mod operator;
mod read;
mod router;
mod sidecar;

pub use error::Error;
pub use limits::Limits;
pub use operator::Operator;
pub use read::{read_router, read_sidecar};
pub use router::{Log, Policy, Router};
pub use sidecar::Sidecar;
