//! A key-value service in memory behind the JSON gateway of etcd v3, with switches
//! for faults.

mod answer;
mod compare;
mod data;
mod fault;
mod handle;
mod lease;
mod number;
mod request;
mod service;
mod stats;
mod store;
mod switch;
mod value;
mod watcher;

pub use self::handle::Handle;
pub use self::stats::Stats;
pub use self::store::Store;
pub use self::switch::{Action, Faults, ScriptedResponse};
