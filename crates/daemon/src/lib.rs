//! The daemon's two roles: a router on an entry VM and a sidecar beside a
//! backend server.

mod clock;
mod recorder;
pub mod router;
pub mod sidecar;
