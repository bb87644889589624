//! Proofs of the promises under failure, on real processes: routers and sidecars
//! on loopback beside stand-ins of the outside systems. `docs/PROOFS.md` lists
//! them, one file here for each promise.

mod at_most_once;
mod common;
mod fairness;
mod leaving;
mod outcomes;
mod responses;
mod shutdown;
