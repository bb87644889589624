//! What callers and backend servers say, read by an adapter at the process's edge.

mod ask;
mod notice;
mod order;
mod reading;
mod unreadable;

use hyper::HeaderMap;
use hyper::http::{request, response};
use mulberryyoke_decide::engine::PartId;

pub use self::ask::Ask;
pub use self::notice::Notice;
pub use self::order::Order;
pub use self::reading::{Proof, Reading};
pub use self::unreadable::Unreadable;
use crate::plan::Plan;
use crate::server::Server;

/// Translates between the headers and values of a platform and the router's types.
pub trait Protocol: Send + Sync {
    /// Reads what a caller's head says beside method, path and host.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] when a header has not the form it must have.
    fn ask(&self, head: &request::Parts) -> Result<Ask, Unreadable>;

    /// Turns a caller's end-to-end headers into those for a server: names that are
    /// the router's alone are removed, then what the order says is set.
    fn forward(&self, headers: &mut HeaderMap, order: &Order<'_>);

    /// Reads what the head of a server's answer proves.
    fn reading(&self, head: &response::Parts, id: &str) -> Reading;

    /// Key under which the configuration lies.
    fn config_key(&self) -> &'static str;

    /// Prefix of the keys under which servers register.
    fn servers_prefix(&self) -> &'static str;

    /// Prefix of the keys that name availability zones to whose servers nothing is to be sent.
    fn evacuations_prefix(&self) -> &'static str;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] when the value is no configuration.
    fn plan(&self, value: &[u8]) -> Result<Plan, Unreadable>;

    /// Path at which a model server lists the prompt parts that it keeps; `None` where
    /// servers list none.
    fn kept_path(&self) -> Option<&'static str>;

    /// Reads such a list.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] when the value is no list.
    fn kept(&self, value: &[u8]) -> Result<Vec<PartId>, Unreadable>;

    /// Reads a server's registration.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] when the value is no registration.
    fn server(&self, name: &str, value: &[u8]) -> Result<Server, Unreadable>;
}
