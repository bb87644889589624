//! Which waiting request a server runs next, and the truth about each attempt.
//!
//! [`Admission`] is the state of one sidecar. The role keeps it under one lock,
//! so a start and a withdrawal exclude each other.

#[expect(clippy::module_inception, reason = "one type each file")]
mod admission;
mod arrival;
mod arrive;
mod attempts;
mod check;
mod configure;
mod grants;
mod link;
mod poll;
mod running;
mod setup;
mod withdraw;

pub use admission::Admission;
pub use arrival::{Arrival, Ending};
pub use attempts::Attempts;
pub use grants::GRANT_TTL;
pub use link::{Link, LinkKey};
pub use poll::Due;
pub use setup::{Setup, Sharing};
