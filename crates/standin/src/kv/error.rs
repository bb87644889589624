//! Error responses.

use hyper::StatusCode;
use serde_json::json;

use crate::http::{self, Response};

/// Error response of the gateway: HTTP status, gRPC status code and message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Error(StatusCode, u32, &'static str);

impl Error {
    pub(crate) const MALFORMED: Self = Self(StatusCode::BAD_REQUEST, 3, "malformed request");
    pub(crate) const UNKNOWN_PATH: Self = Self(StatusCode::NOT_FOUND, 5, "Not Found");
    pub(crate) const EMPTY_KEY: Self = Self(
        StatusCode::BAD_REQUEST,
        3,
        "etcdserver: key is not provided",
    );
    pub(crate) const TOO_LARGE: Self = Self(
        StatusCode::BAD_REQUEST,
        3,
        "etcdserver: request is too large",
    );
    pub(crate) const LEASE_NOT_FOUND: Self = Self(
        StatusCode::NOT_FOUND,
        5,
        "etcdserver: requested lease not found",
    );
    pub(crate) const COMPACTED: Self = Self(
        StatusCode::BAD_REQUEST,
        11,
        "etcdserver: mvcc: required revision has been compacted",
    );
    pub(crate) const FUTURE_REVISION: Self = Self(
        StatusCode::BAD_REQUEST,
        11,
        "etcdserver: mvcc: required revision is a future revision",
    );

    pub(crate) fn response(self) -> Response {
        let Self(status, code, message) = self;
        let body = json!({ "error": message, "message": message, "code": code });
        http::json(status, &body)
    }
}
