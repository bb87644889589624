//! Stand-ins for external systems, and a launcher of fleets of real processes.
//! For tests only.

pub mod engine;
pub mod fleet;
pub mod http;
pub mod journal;
pub mod kv;
pub mod service;
pub mod vms;
