//! Responses received from sidecars.

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use mulberryyoke_wire::{Verdict, verdict};

/// A future that resolves to a response head.
pub(crate) type ResponseFuture = Pin<
    Box<dyn Future<Output = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>> + Send>,
>;

/// Returns the sidecar's verdict on a response. An unparsable verdict counts as
/// [`Verdict::Interrupted`].
pub(crate) fn verdict(response: &Response<Incoming>) -> Option<Verdict> {
    let value = response.headers().get(verdict::HEADER)?;
    let verdict = value.to_str().ok().and_then(Verdict::parse);
    Some(verdict.unwrap_or(Verdict::Interrupted))
}
