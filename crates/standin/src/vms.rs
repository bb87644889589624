//! The platform's VM list, whose changes show after a lag.

mod handle;
mod service;
mod switch;

pub use self::handle::{Handle, List};
pub use self::switch::{Stats, Update};
