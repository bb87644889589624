//! The sidecar role: one process beside each backend server. It alone starts
//! requests on the server, in the order that [`mulberryyoke_decide::admission`]
//! decides.

mod answer;
mod backend;
mod chunk;
mod control;
mod data;
mod error;
mod exchange;
mod header;
mod home;
mod keeper;
mod meter;
mod probe;
mod pump;
mod record;
mod relay;
mod role;
mod shared;
mod slot;
mod status;
mod timer;

pub use error::Error;
pub use role::Sidecar;
