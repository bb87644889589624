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

use super::{Act, Arrival, Shared};

pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>, cancel: CancellationToken) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| answer(Arc::clone(&shared), request));
        let builder = http2::Builder::new(TokioExecutor::new());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(cancel.clone().run_until_cancelled_owned(connection));
    }
}

type Piece = Result<Frame<Bytes>, &'static str>;
type Pieces = StreamBody<BoxStream<'static, Piece>>;

async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Pieces>, Infallible> {
    let (parts, body) = request.into_parts();
    let packed = parts.headers[ticket::HEADER].to_str().unwrap();
    let arrival = Arrival {
        ticket: ticket::unpack(packed).unwrap(),
        path: parts.uri.path_and_query().unwrap().to_string(),
        headers: parts.headers,
        body: body.collect().await.unwrap().to_bytes(),
    };
    // A test may be over already.
    let _ = shared.arrivals.send(arrival);
    let act = shared.acts.lock().pop_front();
    Ok(match act.unwrap_or(Act::Answer("ok")) {
        Act::Answer(text) => whole(text),
        Act::Told(text) => told(shared, text),
        Act::Break(text) => broken(shared, text),
        Act::Hold(text) => {
            shared.released.notified().await;
            whole(text)
        }
        Act::Sized(length, text) => {
            let mut response = broken(shared, text);
            let headers = response.headers_mut();
            headers.insert(CONTENT_LENGTH, length.into());
            response
        }
        Act::Endless => endless(shared),
        Act::Silence => std::future::pending().await,
        Act::Verdict(word) => {
            let mut response = whole("");
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let word = word.as_str().parse().unwrap();
            response.headers_mut().insert(verdict::HEADER, word);
            response
        }
    })
}

fn whole(text: &'static str) -> Response<Pieces> {
    Response::new(StreamBody::new(stream::iter([Ok(frame(text))]).boxed()))
}

/// A text whose length is told first, and whose end comes once it is released.
fn told(shared: Arc<Shared>, text: &'static str) -> Response<Pieces> {
    let mut response = held(shared, text, Ok(Frame::data(Bytes::new())));
    let length = HeaderValue::from(text.len());
    response.headers_mut().insert(CONTENT_LENGTH, length);
    response
}

/// A text that breaks off after it once it is released.
fn broken(shared: Arc<Shared>, text: &'static str) -> Response<Pieces> {
    held(shared, text, Err("told to break off"))
}

fn held(shared: Arc<Shared>, text: &'static str, last: Piece) -> Response<Pieces> {
    let end = stream::once(async move {
        shared.released.notified().await;
        last
    });
    let pieces = stream::iter([Ok(frame(text))]).chain(end);
    Response::new(StreamBody::new(pieces.boxed()))
}

fn endless(shared: Arc<Shared>) -> Response<Pieces> {
    /// Tells when the answer is dropped.
    struct Guard(Arc<Shared>);

    impl Drop for Guard {
        fn drop(&mut self) {
            self.0.abandoned.notify_one();
        }
    }

    let guard = Guard(shared);
    let pieces = stream::repeat_with(move || {
        let _held = &guard;
        Ok(Frame::data(Bytes::from_static(&[b'x'; 16_384])))
    });
    Response::new(StreamBody::new(pieces.boxed()))
}

fn frame(text: &'static str) -> Frame<Bytes> {
    Frame::data(Bytes::from_static(text.as_bytes()))
}
