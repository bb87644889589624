//! Membership of routers: who is there, who exchanges with whom, and who watches
//! the key-value service.
//!
//! The VM list names the routers, late. A router whose calls have failed for a
//! while is suspect. Every router plans alone; routers that disagree for a while
//! exchange too much or too late, and nothing else depends on it.

mod bounds;
mod place;
mod plan;
mod table;
mod tree;

pub use bounds::Bounds;
pub use place::Place;
pub use plan::Plan;
pub use table::Table;
