//! Identity of a request attempt.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// An attempt to run a request. Identifies responses: a late response to an earlier
/// attempt has a different `number`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Router instance that received the request.
    pub origin: Incarnation,
    /// Sequence number of the request within that instance.
    pub request: u64,
    /// Number of previous attempts.
    pub number: u8,
}

impl Attempt {
    /// The next attempt of the same request.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            number: self.number.saturating_add(1),
            ..self
        }
    }

    /// The request id shown to clients: origin and sequence number in hexadecimal.
    #[must_use]
    pub fn request_id(self) -> String {
        format!("{:016x}-{:x}", self.origin.0, self.request)
    }

    /// Parses a request id as shown to clients; the attempt number is 0.
    #[must_use]
    pub fn parse_request_id(text: &str) -> Option<Self> {
        let (origin, request) = text.split_once('-')?;
        let origin = Incarnation(u64::from_str_radix(origin, 16).ok()?);
        let request = u64::from_str_radix(request, 16).ok()?;
        Some(Self {
            origin,
            request,
            number: 0,
        })
    }
}
