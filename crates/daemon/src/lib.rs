//! Roles of the daemon: a router on an entry VM and a sidecar beside a backend server.

mod clock;
pub mod fleet;
mod metric;
pub mod operator;
pub mod router;
pub mod sidecar;
