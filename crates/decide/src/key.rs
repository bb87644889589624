//! Idempotency keys at their home: what this life of the sidecar has seen, and
//! what an earlier life may have.
//!
//! A key runs once because its memory is in the process that starts it. What an
//! earlier life started is known from the record that it left in the key-value
//! service at a planned stop, or else from the routers that sent it keys:
//! [`Doubt`] keeps count. `docs/design/outcomes.md` has the cases.

mod answer;
mod doubt;
mod mark;
mod memory;
mod routers;

pub use answer::Answer;
pub use doubt::{Doubt, Past};
pub use mark::Mark;
pub use memory::{Memory, Seen};
pub use routers::Routers;
