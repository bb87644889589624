//! Messages between the processes of the fleet.
//!
//! Control calls go over tarpc: [`Sidecar`] is served beside each backend
//! server and called by routers; [`Router`] is served by each router and called
//! by its peers. Bodies and answers go over HTTP/2; the router's request
//! carries one [`Ticket`] in the header [`ticket::HEADER`].

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
