//! The router role against scripted sidecars.

mod caller;
mod fake;
mod fleet;

mod key;
mod outcome;
mod queue_limit;
mod request;
mod shutdown;
mod waiting;
