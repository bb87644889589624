//! Sessions of operators: the client's process against routers, a sidecar, and
//! stand-ins of the key-value service and the VM list.

mod faults;
mod fleet;
mod queries;
