//! Membership of routers: who is there, who exchanges with whom, and who watches
//! the key-value service.
//!
//! The VM list names the routers, late. A router whose calls have failed for a
//! while is suspect. Every router plans alone; routers that disagree for a while
//! exchange too much or too late, and nothing else depends on it.

mod limits;
mod neighbors;
mod router;
mod table;
mod tree;

pub use limits::Limits;
pub use neighbors::Neighbors;
pub use router::Router;
pub use table::Table;
