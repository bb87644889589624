//! Values of the headers that a gateway sets on a forwarded request.

use std::net::SocketAddr;

/// Values of the headers that a gateway sets on a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarding<'a> {
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Name of the intended server; any other server at the address must reject the request.
    pub server: &'a str,
    /// Name of the customer, if the request has one.
    pub customer: Option<&'a str>,
    /// ID of the event after which to resume the stream; `None` leaves the header of the caller.
    pub resume_after: Option<u64>,
    /// Address of the server from which to fetch cached prompt parts.
    pub fetch_from: Option<SocketAddr>,
}
