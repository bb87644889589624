//! A gateway: a router on an entry VM that talks straight to backend servers.
//!
//! It follows a key-value service for configuration and servers, chooses a server
//! for each request by what the server is believed to keep and to have waiting,
//! and passes answers on as they come.

mod answer;
mod backend;
mod balance;
mod budgets;
mod cache_report;
mod call;
pub mod clock;
pub mod config;
mod conn;
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
mod pass;
pub mod protocol;
mod pump;
mod quarantine;
mod ready;
mod refusal;
mod registry;
mod server;
mod socket;
mod stop;
mod strain;
mod view;

pub use self::error::Error;
pub use self::handle::Gateway;
pub use self::server::Server;
