//! The sidecar role.
