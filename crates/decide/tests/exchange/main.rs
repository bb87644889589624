//! Usage exchange: totals never decrease, and converge once usage stops.

mod mesh;
mod network;
mod tree;
