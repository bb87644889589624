//! Test fixtures: a small fleet of processes on loopback, requests of callers, and
//! helpers to wait for events.

pub(crate) mod backend;
pub(crate) mod blocked_port;
pub(crate) mod fleet;
pub(crate) mod node;
pub(crate) mod request;
pub(crate) mod setup;
pub(crate) mod stream;
pub(crate) mod wait;

pub(crate) use backend::Backend;
pub(crate) use blocked_port::BlockedPort;
pub(crate) use fleet::Fleet;
pub(crate) use node::Node;
pub(crate) use request::{Request, Response};
pub(crate) use setup::Setup;
pub(crate) use stream::Stream;
