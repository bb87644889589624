//! Numbered log events, listed in `docs/EVENTS.md`.
//!
//! Event numbers are assigned by source: routers 1000 to 1999, sidecars 2000 to 2999,
//! platform integration 3000 to 3999, operator commands 4000 to 4999, process lifecycle
//! 5000 to 5999.

pub use slog;

mod catalogue;
mod logger;
pub mod rate_limit;
mod sink;

pub use catalogue::{Event, Level};
pub use logger::{Format, open, open_stdout};
