//! Tests of the sidecar role against an in-process backend.

mod backend;
mod cut_heads;
mod forward;
mod keys;
mod kv;
mod node;
mod resume;
