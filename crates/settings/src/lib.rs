//! Settings of the daemon, read from JSON files and validated.

mod check;
mod error;
mod gateway;
mod limits;
mod number;
mod operator;
mod read;
mod role;
mod router;
mod sidecar;

pub use error::Error;
pub use gateway::Gateway;
pub use limits::Limits;
pub use operator::Operator;
pub use read::{check, read_gateway, read_router, read_sidecar};
pub use role::Role;
pub use router::{LogFormat, Policy, Router};
pub use sidecar::Sidecar;
