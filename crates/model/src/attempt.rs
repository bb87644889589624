//! Identity of one attempt to run a request.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// One attempt to run one request. Answers are matched by it; a late answer of
/// an earlier attempt differs in `number`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The router life that took the request.
    pub origin: Incarnation,
    /// Sequence number of the request in that life.
    pub request: u64,
    /// Count of attempts made before this one.
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

    /// The request id shown to callers: origin and sequence number in hex.
    #[must_use]
    pub fn request_id(self) -> String {
        format!("{:016x}-{:x}", self.origin.0, self.request)
    }

    /// Reads a request id as shown to callers; the attempt number is 0.
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
