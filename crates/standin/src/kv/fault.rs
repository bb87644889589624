//! Error answers.

use hyper::StatusCode;
use serde_json::json;

use crate::http::{self, Reply};

/// An error answer of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The request cannot be read.
    Malformed,
    /// No such path.
    NoPath,
    /// The value is over the limit.
    TooLarge,
    /// The lease does not exist.
    NoLease,
    /// The revision is gone.
    Compacted,
    /// The revision is yet to come.
    Future,
}

impl Fault {
    const fn parts(self) -> (StatusCode, u32, &'static str) {
        match self {
            Self::Malformed => (StatusCode::BAD_REQUEST, 3, "malformed request"),
            Self::NoPath => (StatusCode::NOT_FOUND, 5, "Not Found"),
            Self::TooLarge => (
                StatusCode::BAD_REQUEST,
                3,
                "etcdserver: request is too large",
            ),
            Self::NoLease => (
                StatusCode::NOT_FOUND,
                5,
                "etcdserver: requested lease not found",
            ),
            Self::Compacted => (
                StatusCode::BAD_REQUEST,
                11,
                "etcdserver: mvcc: required revision has been compacted",
            ),
            Self::Future => (
                StatusCode::BAD_REQUEST,
                11,
                "etcdserver: mvcc: required revision is a future revision",
            ),
        }
    }

    /// The whole answer.
    pub(crate) fn answer(self) -> Reply {
        let (status, code, message) = self.parts();
        let body = json!({ "error": message, "code": code, "message": message });
        http::reply(status, &body)
    }
}
