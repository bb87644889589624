//! What the proofs have in common: a small fleet of real processes on loopback,
//! its callers, and waiting for events.

pub(crate) mod backend;
pub(crate) mod fleet;
pub(crate) mod gate;
pub(crate) mod node;
pub(crate) mod request;
pub(crate) mod setup;
pub(crate) mod stream;
pub(crate) mod wait;

pub(crate) use backend::Backend;
pub(crate) use fleet::Fleet;
pub(crate) use gate::Gate;
pub(crate) use node::Node;
pub(crate) use request::{Request, Response};
pub(crate) use setup::Setup;
pub(crate) use stream::Stream;
