//! The usage exchange: totals never go back, and agree once all is quiet.

mod flat;
mod net;
mod tree;
