//! Stored responses.

/// A complete backend response, stored for replay to requests with the same key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Response body.
    pub body: Vec<u8>,
}

impl Response {
    /// Memory footprint, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| name.len() + value.len() + size_of::<(String, Vec<u8>)>())
            .sum();
        size_of::<Self>() + headers + self.body.len()
    }
}
