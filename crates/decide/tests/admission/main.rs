//! Admission tests.

mod golden;
mod long;
mod random;
mod session;
mod simulation;
mod table;
