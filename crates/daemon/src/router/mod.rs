//! The router role.
