//! Idempotency keys at their home: what this life of the sidecar has seen, and
//! what an earlier life may have.
//!
//! A key runs once because its memory is in the process that starts it. What an
//! earlier life started is known from the record that it left in the key-value
//! service at a planned stop, or else from the routers that sent it keys:
//! [`Recovery`] keeps count. `docs/design/outcomes.md` has the cases.

mod recovery;
mod response;
mod routers;
mod saved_state;
mod store;

pub use recovery::{PriorRecord, Recovery};
pub use response::Response;
pub use routers::Routers;
pub use saved_state::SavedState;
pub use store::{KeyState, Store};
