//! Messages between the processes of the fleet.
//!
//! Control calls go over tarpc: [`Sidecar`] is served beside each backend
//! server and called by routers; [`Router`] is served by each router and called
//! by its peers. Bodies and answers go over HTTP/2; the router's request
//! carries one [`Ticket`] in the header [`ticket::HEADER`].

mod count;
mod error;
mod grant;
mod interest;
mod link;
mod load;
mod router;
mod sidecar;
pub mod ticket;
mod usage;
pub mod verdict;

pub use count::{Bytes, Counted};
pub use error::Error;
pub use grant::Grant;
pub use interest::Interest;
pub use link::{
    Listener, RouterChannel, SidecarChannel, connect_router, connect_sidecar, router_channel,
    sidecar_channel, spawn_calls,
};
pub use load::Load;
pub use router::{Member, Router, RouterClient, Summary};
pub use sidecar::{Poll, Polled, Sidecar, SidecarClient, Withdrawal};
pub use ticket::Ticket;
pub use usage::{Report, Usage};
pub use verdict::Verdict;
