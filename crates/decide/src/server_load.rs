//! Load that a server reports of itself with its responses.

mod queue;
mod report;

pub use self::queue::Queue;
pub use self::report::{InvalidReport, Report};

use mulberryyoke_model::Millis;

/// Time for which a reported slowdown counts, in milliseconds. It changes many times a second.
pub const MAX_AGE_MS: Millis = 1_000;
