//! Every decision of the fleet, without input, output, clock, threads or
//! runtime: time comes in as [`mulberryyoke_model::Millis`], randomness as a
//! generator.

pub mod home;
pub mod limit;
pub mod place;
pub mod queue;
mod rank;
pub mod retry;
pub mod view;
