//! What a router tells a server with a request.

/// What a router tells a server with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarding<'a> {
    /// Time that is left for the answer, in milliseconds.
    pub remaining_ms: u64,
    /// The server that is meant; another one at its address has to turn the request away.
    pub server: &'a str,
    /// The customer, if the request has one.
    pub customer: Option<&'a str>,
    /// The event after which the stream has to go on; as the caller said when `None`.
    pub resume_after: Option<u64>,
}
