//! Membership of routers: which are alive, which exchange usage with each other, and
//! which watch the key-value service.
//!
//! The VM list names the routers with a delay. A router is suspect when calls to it
//! have failed for a while. Every router determines its neighbors on its own; while
//! routers disagree, usage is exchanged redundantly or late, with no other effect.

mod limits;
mod neighbors;
mod router;
mod table;
mod tree;

pub use limits::Limits;
pub use neighbors::Neighbors;
pub use router::Router;
pub use table::Table;
