//! The operators' port on a key-value service that fails on demand.

mod access;
mod changes;
mod faults;
mod kv;
mod port;
mod queries;
