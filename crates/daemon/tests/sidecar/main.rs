//! Tests of the sidecar role against an in-process backend.

mod backend;
mod forward;
mod keys;
mod kv;
mod node;
mod resume;
