//! Kept answers.

/// A whole answer of the backend, kept for repeats of its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers by name.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Memory that it takes, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| name.len() + value.len() + size_of::<(String, Vec<u8>)>())
            .sum();
        size_of::<Self>() + headers + self.body.len()
    }
}
