//! Answers that have not come yet, and what their heads say.

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use mulberryyoke_wire::{Verdict, verdict};

/// An answer that has not come yet.
pub(crate) type Pending = Pin<
    Box<dyn Future<Output = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>> + Send>,
>;

/// The sidecar's verdict on a response; one that cannot be read proves nothing.
pub(crate) fn verdict_of(response: &Response<Incoming>) -> Option<Verdict> {
    let word = response.headers().get(verdict::HEADER)?;
    let verdict = word.to_str().ok().and_then(Verdict::parse);
    Some(verdict.unwrap_or(Verdict::Broken))
}
