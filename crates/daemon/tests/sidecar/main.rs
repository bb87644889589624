//! The sidecar role against a small backend in this process.

mod backend;
mod keys;
mod kv;
mod node;
mod pass;
mod resume;
