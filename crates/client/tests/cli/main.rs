//! Runs the client against two routers and a sidecar, with simulated key-value service and
//! VM list.

mod commands;
mod faults;
mod fleet;
