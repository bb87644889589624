//! Proofs of the promises under failure, on real processes: routers and sidecars
//! on loopback beside stand-ins of the outside systems. `docs/PROOFS.md` lists
//! them, one file here for each promise.

mod leave;
mod once;
mod shared;
mod starve;
mod stop;
mod truth;
mod whole;
