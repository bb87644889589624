//! Interface to the adapter that parses the headers and stored values of a platform.

mod forwarding;
mod identity;
mod notice;
mod parse_error;
mod request_head;
mod response_head;

use hyper::HeaderMap;
use hyper::http::{request, response};
use mulberryyoke_decide::engine::PartId;

pub use self::forwarding::Forwarding;
pub use self::identity::Identity;
pub use self::notice::Notice;
pub use self::parse_error::ParseError;
pub use self::request_head::RequestHead;
pub use self::response_head::{ResponseHead, Verification};
use crate::config::Config;
use crate::server::Server;

/// Converts between the headers and stored values of a platform and the types of the gateway.
pub trait Protocol: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if a header is missing or malformed.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, ParseError>;

    /// Turns the end-to-end headers of a caller into those for a server: removes the headers that
    /// are reserved for the gateway and sets those of `forwarding`.
    fn rewrite_headers(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);

    /// Parses and verifies the head of a server's response to the request with this ID.
    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseHead;

    /// Returns the headers of a health check that only this server may answer.
    fn health_check_headers(&self, server: &str) -> HeaderMap;

    /// Returns which instance sent this response to a request that named `server`. `id` is that of
    /// the request; a health check has none.
    fn identify(&self, head: &response::Parts, id: Option<&str>, server: &str) -> Identity;

    /// Returns the start of the instance that the body of a response to a health check states, in
    /// milliseconds since the Unix epoch.
    fn parse_start(&self, body: &[u8]) -> Option<u64>;

    /// Key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Prefix of the keys of server registrations.
    fn servers_prefix(&self) -> &'static str;

    /// Prefix of the keys that name availability zones to evacuate.
    fn evacuations_prefix(&self) -> &'static str;

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if the value is not a valid configuration.
    fn parse_config(&self, value: &[u8]) -> Result<Config, ParseError>;

    /// Path at which a model server lists its cached prompt parts; `None` if the platform has no
    /// such list.
    fn cached_parts_path(&self) -> Option<&'static str>;

    /// Parses a list of cached prompt parts.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if the value is not a valid list.
    fn parse_cached_parts(&self, value: &[u8]) -> Result<Vec<PartId>, ParseError>;

    /// Parses the registration of a server.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if the value is not a valid registration.
    fn parse_server(&self, name: &str, value: &[u8]) -> Result<Server, ParseError>;
}
