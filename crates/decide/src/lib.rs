//! Decision logic of the fleet, free of I/O, clocks, threads and async runtimes.
//!
//! Time is passed in as [`mulberryyoke_model::Millis`], randomness as a generator or a seed.

pub mod account;
pub mod admission;
pub mod aggregate;
pub mod buffer;
pub mod cas;
pub mod cold;
pub mod declare;
pub mod engine;
pub mod exchange;
pub mod failover;
pub mod handoff;
pub mod home;
pub mod key;
pub mod leaving;
pub mod limiter;
pub mod log_limit;
pub mod member;
pub mod overload;
pub mod placement;
pub mod plain;
pub mod pressure;
pub mod pushback;
pub mod quarantine;
pub mod queue;
pub(crate) mod rendezvous;
pub mod retry;
pub mod retry_after;
pub mod sample;
pub mod server_load;
pub mod share;
pub mod shed;
pub mod stream;
pub mod subset;
pub mod survival;
pub mod view;
pub mod waiting;
