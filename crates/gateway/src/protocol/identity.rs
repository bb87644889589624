//! Which server instance sent a response.

/// Which server instance sent the response to a request that named one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The named instance, after it received the request.
    Intended,
    /// Another instance uses its address.
    Other,
    /// The response doesn't tell: a full server may reject a request before it compares the names.
    Unknown,
}
