//! The platform's list of VMs, which is eventually consistent.

mod entry;
mod error;
mod http;

pub use self::entry::{Role, State, Vm};
pub use self::error::Error;
pub use self::http::Http;

/// A call to the VM list.
pub type Call<'a, T> = crate::Call<'a, T, Error>;

/// Client of the platform's VM list, usable as `Arc<dyn Vms>`.
pub trait Vms: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> Call<'_, Vec<Vm>>;
}
