//! Gateway: a router on an entry VM that connects directly to backend servers.
//!
//! It watches a key-value service for configuration and servers, chooses a server for each request
//! by estimated prefix cache and queue, and streams responses to the caller.

mod backend;
mod balance;
mod body_relay;
mod buffers;
mod cache_report;
mod call;
pub mod clock;
pub mod config;
mod connection_pool;
mod control;
mod core;
mod denial;
mod dispatch;
mod eligibility;
mod error;
mod exchange;
mod failure;
mod follow;
mod framing;
mod gateway;
mod handoff;
mod header;
mod inbound;
mod listen;
mod memory;
mod mirror;
mod notice;
mod outages;
mod outcome;
mod overload;
mod peer_call;
pub mod protocol;
mod quarantine;
mod readiness;
mod refusal;
mod registry;
mod relay_body;
mod request_body;
mod response_body;
mod retry_budgets;
mod room;
mod server;
mod short_read;
mod shutdown;
mod socket;
mod stream_relay;
mod streams;
mod survival;
mod view;
mod waiting;

pub use self::error::Error;
pub use self::gateway::Gateway;
pub use self::memory::resident_bytes;
pub use self::server::Server;
