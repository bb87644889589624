//! Decisions of one sidecar.

mod golden;
mod long;
mod random;
mod session;
mod table;
mod world;
