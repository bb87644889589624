//! Protocols between the processes of the fleet.
//!
//! Control calls use tarpc: [`Sidecar`] is served next to each backend server and
//! called by routers; [`Router`] is served by each router and called by its peers.
//! Requests and responses use HTTP/2; the router attaches a [`Ticket`] to each
//! request in the header [`ticket::HEADER`].

pub mod aggregate;
mod byte_counter;
mod error;
pub mod handoff;
pub mod hop_by_hop;
mod link;
pub mod relay;
mod router;
mod sidecar;
pub mod sse;
pub mod stream;
pub mod ticket;
pub mod verdict;

pub use byte_counter::{ByteCounter, CountingStream};
pub use error::Error;
pub use link::{
    Listener, RouterChannel, SidecarChannel, connect_router, connect_sidecar, router_channel,
    sidecar_channel, spawn_calls,
};
pub use mulberryyoke_model::{Grant, Interest, Load, Report, Ticket, Usage};
pub use router::{Member, Router, RouterClient, Summary};
pub use sidecar::{Poll, PollResponse, Sidecar, SidecarClient, Withdrawal};
pub use verdict::Verdict;
