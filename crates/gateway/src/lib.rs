//! A gateway: a router on an entry VM that talks straight to backend servers.
//!
//! It follows a key-value service for configuration and servers, chooses a server
//! for each request by what the server is believed to keep and to have waiting,
//! and passes answers on as they come.

mod backend;
mod balance;
mod body_relay;
mod cache_report;
mod call;
pub mod clock;
pub mod config;
mod connection_pool;
mod control;
mod core;
mod dispatch;
mod error;
mod exchange;
mod failure;
mod follow;
mod handle;
mod handoff;
mod header;
mod intake;
mod listen;
mod mirror;
mod notice;
mod outcome;
pub mod protocol;
mod quarantine;
mod ready;
mod refusal;
mod registry;
mod response_body;
mod retry_budgets;
mod server;
mod shutdown;
mod socket;
mod strain;
mod stream_relay;
mod view;

pub use self::error::Error;
pub use self::handle::Gateway;
pub use self::server::Server;
