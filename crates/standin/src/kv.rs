//! In-memory key-value service with the JSON gateway of etcd v3 and fault injection.

mod api;
mod compare;
mod data;
mod encoding;
mod error;
mod execute;
mod faults;
mod handle;
mod lease;
mod request;
mod stats;
mod store;
mod value;
mod watcher;

pub use self::faults::{Action, Faults, ScriptedResponse};
pub use self::handle::Handle;
pub use self::stats::Stats;
pub use self::store::Store;
