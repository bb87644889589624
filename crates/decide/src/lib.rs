//! Decisions of the fleet, without input, output, clock, threads or runtime.
//!
//! Time comes in as [`mulberryyoke_model::Millis`]; randomness as a generator
//! or a seed.

pub mod exchange;
pub mod home;
pub(crate) mod rank;
pub mod settle;
pub mod view;
