//! Discrete-event simulation of gateways and model servers under seeded workloads: no processes,
//! sockets or wall clock.

mod gateway;
mod report;
mod server;
mod simulation;
mod workload;

mod scenarios;
