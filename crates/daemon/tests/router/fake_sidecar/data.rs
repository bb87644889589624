//! The data port of a fake sidecar.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use mulberryyoke_wire::{ticket, verdict};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{Behavior, ReceivedRequest, Shared};

pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>, cancel: CancellationToken) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| respond(Arc::clone(&shared), request));
        let builder = http2::Builder::new(TokioExecutor::new());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(cancel.clone().run_until_cancelled_owned(connection));
    }
}

type FrameResult = Result<Frame<Bytes>, &'static str>;
type Body = StreamBody<BoxStream<'static, FrameResult>>;

async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (parts, body) = request.into_parts();
    let ticket = parts.headers[ticket::HEADER].to_str().unwrap();
    let received = ReceivedRequest {
        ticket: ticket::unpack(ticket).unwrap(),
        path: parts.uri.path_and_query().unwrap().to_string(),
        headers: parts.headers,
        body: body.collect().await.unwrap().to_bytes(),
    };
    // The test may have ended.
    let _ = shared.received.send(received);
    let behavior = shared.behaviors.lock().pop_front();
    Ok(match behavior.unwrap_or(Behavior::Respond("ok")) {
        Behavior::Respond(text) => complete(text),
        Behavior::HoldEnd(text) => held_end(shared, text),
        Behavior::Abort(text) => aborted(shared, text),
        Behavior::Delay(text) => {
            shared.released.notified().await;
            complete(text)
        }
        Behavior::AbortWithLength(length, text) => {
            let mut response = aborted(shared, text);
            let headers = response.headers_mut();
            headers.insert(CONTENT_LENGTH, length.into());
            response
        }
        Behavior::Endless => endless(shared),
        Behavior::NoResponse => std::future::pending().await,
        Behavior::Verdict(verdict) => {
            let mut response = complete("");
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let value = verdict.as_str().parse().unwrap();
            response.headers_mut().insert(verdict::HEADER, value);
            response
        }
    })
}

fn complete(text: &'static str) -> Response<Body> {
    Response::new(StreamBody::new(stream::iter([Ok(frame(text))]).boxed()))
}

/// Sends a text with its `Content-Length`; ends the stream on release.
fn held_end(shared: Arc<Shared>, text: &'static str) -> Response<Body> {
    let mut response = send_then(shared, text, Ok(Frame::data(Bytes::new())));
    let length = HeaderValue::from(text.len());
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

/// Sends a text; aborts the stream on release.
fn aborted(shared: Arc<Shared>, text: &'static str) -> Response<Body> {
    send_then(shared, text, Err("aborted by the test"))
}

/// Sends a text, and `last` on release.
fn send_then(shared: Arc<Shared>, text: &'static str, last: FrameResult) -> Response<Body> {
    let end = stream::once(async move {
        shared.released.notified().await;
        last
    });
    let frames = stream::iter([Ok(frame(text))]).chain(end);
    Response::new(StreamBody::new(frames.boxed()))
}

fn endless(shared: Arc<Shared>) -> Response<Body> {
    /// Notifies when the response body is dropped.
    struct CancelGuard(Arc<Shared>);

    impl Drop for CancelGuard {
        fn drop(&mut self) {
            self.0.cancelled.notify_one();
        }
    }

    let guard = CancelGuard(shared);
    let frames = stream::repeat_with(move || {
        let _guard = &guard;
        Ok(Frame::data(Bytes::from_static(&[b'x'; 16_384])))
    });
    Response::new(StreamBody::new(frames.boxed()))
}

fn frame(text: &'static str) -> Frame<Bytes> {
    Frame::data(Bytes::from_static(text.as_bytes()))
}
