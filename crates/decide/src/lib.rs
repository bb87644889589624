//! Decisions of the fleet, without input, output, clock, threads or runtime.
//!
//! Time comes in as [`mulberryyoke_model::Millis`]; randomness as a generator
//! or a seed.

pub mod exchange;
pub mod home;
pub mod member;
pub(crate) mod rank;
pub mod subset;
pub mod view;
