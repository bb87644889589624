//! Tests the operator API on a key-value service with fault injection.

mod access;
mod changes;
mod faults;
mod fixture;
mod kv;
mod queries;
