//! Stand-ins for outside systems and a launcher of real processes, for tests only.

pub mod engine;
pub mod fleet;
pub mod http;
pub mod journal;
pub mod kv;
pub mod service;
pub mod vms;
