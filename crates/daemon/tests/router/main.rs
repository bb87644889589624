//! The router role against sidecars that do as a test tells them.

mod caller;
mod fake_sidecar;
mod fleet;
mod input;
mod key;
mod limit;
mod outcome;
mod queueing;
mod stop;
