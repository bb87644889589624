//! Error answers.

use hyper::StatusCode;
use serde_json::json;

use crate::http::{self, Response};

/// An error answer of the gateway: HTTP status, code of gRPC and text.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault(StatusCode, u32, &'static str);

impl Fault {
    pub(crate) const MALFORMED: Self = Self(StatusCode::BAD_REQUEST, 3, "malformed request");
    pub(crate) const NO_PATH: Self = Self(StatusCode::NOT_FOUND, 5, "Not Found");
    pub(crate) const NO_KEY: Self = Self(
        StatusCode::BAD_REQUEST,
        3,
        "etcdserver: key is not provided",
    );
    pub(crate) const TOO_LARGE: Self = Self(
        StatusCode::BAD_REQUEST,
        3,
        "etcdserver: request is too large",
    );
    pub(crate) const NO_LEASE: Self = Self(
        StatusCode::NOT_FOUND,
        5,
        "etcdserver: requested lease not found",
    );
    pub(crate) const COMPACTED: Self = Self(
        StatusCode::BAD_REQUEST,
        11,
        "etcdserver: mvcc: required revision has been compacted",
    );
    pub(crate) const FUTURE: Self = Self(
        StatusCode::BAD_REQUEST,
        11,
        "etcdserver: mvcc: required revision is a future revision",
    );

    /// The whole answer.
    pub(crate) fn answer(self) -> Response {
        let Self(status, code, message) = self;
        let body = json!({ "error": message, "message": message, "code": code });
        http::json(status, &body)
    }
}
