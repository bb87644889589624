//! Idempotency keys at the server responsible for them: the keys that this
//! sidecar has handled, and those that an earlier incarnation may have started.
//!
//! Each key runs at most once because its state is kept in the process that
//! starts the request. After a restart, [`Recovery`] collects the keys started
//! earlier: from the record that a planned stop leaves in the key-value service,
//! or else from the routers that sent them. See `docs/design/outcomes.md`.

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
