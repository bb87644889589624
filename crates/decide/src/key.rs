//! Memory of idempotency keys of one sidecar life.

mod answer;
mod memory;

pub use answer::Answer;
pub use memory::{Memory, Seen};
