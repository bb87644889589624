//! The sidecar role: one process per backend server. Only the sidecar starts
//! requests on the server, in the order set by [`mulberryyoke_decide::admission`].

mod backend;
mod channel_body;
mod chunk;
mod control;
mod data;
mod error;
mod exchange;
mod expiry;
mod forwarder;
mod hop_by_hop;
mod meter;
mod probe;
mod record;
mod record_writer;
mod registration;
mod response;
mod role;
mod shared;
mod slot;
mod status;

pub use error::Error;
pub use role::Sidecar;
