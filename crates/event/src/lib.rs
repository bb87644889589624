//! Numbered log events. `docs/EVENTS.md` is their catalogue.
//!
//! Each event carries a fixed number by its source: routers 1000 to 1999, sidecars
//! 2000 to 2999, the platform's edge 3000 to 3999, operators 4000 to 4999, starting
//! and stopping 5000 to 5999.

pub use slog;

mod catalogue;
mod logger;
pub mod rate_limit;
mod sink;

pub use catalogue::{Event, Level};
pub use logger::{Format, open, open_stdout};
