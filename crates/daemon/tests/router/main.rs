//! The router role against scripted sidecars.

mod caller;
mod fake_sidecar;
mod fleet;
mod key;
mod old_caller;
mod outcome;
mod queue_limit;
mod queueing;
mod request;
mod shutdown;
