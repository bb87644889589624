//! What callers and backend servers say, read by an adapter at the process's edge.

mod forwarding;
mod notice;
mod parse_error;
mod request_head;
mod response_head;

use hyper::HeaderMap;
use hyper::http::{request, response};
use mulberryyoke_decide::engine::PartId;

pub use self::forwarding::Forwarding;
pub use self::notice::Notice;
pub use self::parse_error::ParseError;
pub use self::request_head::RequestHead;
pub use self::response_head::{ResponseHead, Verification};
use crate::config::Config;
use crate::server::Server;

/// Translates between the headers and values of a platform and the router's types.
pub trait Protocol: Send + Sync {
    /// Reads what a caller's head says beside method, path and host.
    ///
    /// # Errors
    ///
    /// [`ParseError`] when a header has not the form it must have.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, ParseError>;

    /// Turns a caller's end-to-end headers into those for a server: names that are
    /// the router's alone are removed, then what the order says is set.
    fn rewrite_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Reads what the head of a server's answer proves.
    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseHead;

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
    /// [`ParseError`] when the value is no configuration.
    fn parse_config(&self, value: &[u8]) -> Result<Config, ParseError>;

    /// Path at which a model server lists the prompt parts that it keeps; `None` where
    /// servers list none.
    fn cached_parts_path(&self) -> Option<&'static str>;

    /// Reads such a list.
    ///
    /// # Errors
    ///
    /// [`ParseError`] when the value is no list.
    fn parse_cached_parts(&self, value: &[u8]) -> Result<Vec<PartId>, ParseError>;

    /// Reads a server's registration.
    ///
    /// # Errors
    ///
    /// [`ParseError`] when the value is no registration.
    fn parse_server(&self, name: &str, value: &[u8]) -> Result<Server, ParseError>;
}
