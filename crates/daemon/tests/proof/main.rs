//! Tests of the guarantees that hold under failures. Routers and sidecars run as
//! processes on loopback, with stand-ins for external systems. Each module tests one
//! guarantee; `docs/PROOFS.md` lists them.

mod at_most_once;
mod common;
mod cuts;
mod fairness;
mod leaving;
mod outcomes;
mod responses;
mod shutdown;
