//! The platform's VM list, whose changes appear after a delay, with fault injection.

mod api;
mod list;
mod update;

pub use self::list::{Handle, List};
pub use self::update::{Stats, Update};
