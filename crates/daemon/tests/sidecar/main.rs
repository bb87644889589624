//! The sidecar role against a small backend in this process.

mod backend;
mod node;
mod pass;
