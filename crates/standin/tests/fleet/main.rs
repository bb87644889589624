//! What routers know of the fleet, over real sockets and against the stand-ins.

mod configuration;
mod exchange;
mod log;
mod sidecar;
mod world;
