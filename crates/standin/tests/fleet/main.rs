//! Fleet state of routers, over real sockets and against the stand-ins.

mod configuration;
mod environment;
mod exchange;
mod log;
mod sidecar;
