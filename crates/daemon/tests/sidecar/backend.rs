//! A backend that answers as the test tells it.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

/// One request that reached the backend; the test answers it.
pub struct Call {
    pub request: Request<Incoming>,
    respond: tokio::sync::oneshot::Sender<Response<BoxBody<Bytes, Broken>>>,
}

/// The rest of an answer. Dropped without [`Stream::end`] it breaks off.
pub struct Stream {
    pieces: mpsc::Sender<Result<Frame<Bytes>, Broken>>,
}

#[derive(Debug, displaydoc::Display)]
/// broken off by the test
pub struct Broken;

impl std::error::Error for Broken {}

impl Call {
    /// Sends a head and returns the stream of its body.
    pub fn answer(self, content_type: &str) -> Stream {
        self.answer_with(content_type, &[])
    }

    pub fn answer_with(self, content_type: &str, headers: &[(&str, &str)]) -> Stream {
        let (pieces, mut received) = mpsc::channel(1);
        let mut ended = false;
        let body = futures::stream::poll_fn(move |cx| {
            if ended {
                return std::task::Poll::Ready(None);
            }
            received.poll_recv(cx).map(|piece| match piece {
                Some(Ok(frame)) => Some(Ok(frame)),
                Some(Err(Broken)) => {
                    ended = true;
                    Some(Err(Broken))
                }
                None => None,
            })
        });
        let mut response = Response::builder().header("content-type", content_type);
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        let response = response
            .body(BoxBody::new(StreamBody::new(body)))
            .expect("valid head");
        // A sidecar that hung up needs no answer.
        let _ = self.respond.send(response);
        Stream { pieces }
    }
}

impl Stream {
    /// Sends a part of the body.
    pub async fn send(&self, text: &str) {
        let frame = Frame::data(Bytes::copy_from_slice(text.as_bytes()));
        self.pieces.send(Ok(frame)).await.expect("sidecar reads");
    }

    /// Sends one event with a token.
    pub async fn token(&self) {
        self.send("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
            .await;
    }

    /// Breaks the body off.
    pub async fn fail(self) {
        let _ = self.pieces.send(Err(Broken)).await;
    }

    /// Waits until the sidecar has hung up.
    pub async fn hung_up(&self) {
        self.pieces.closed().await;
    }
}

/// A backend on loopback.
pub struct Backend {
    pub address: SocketAddr,
    pub calls: mpsc::UnboundedReceiver<Call>,
    pub count: Arc<AtomicUsize>,
}

impl Backend {
    pub async fn spawn() -> Self {
        let (backend, resume) = Self::spawn_paused().await;
        resume.notify_one();
        backend
    }

    /// A backend that reads nothing before it is told to go on.
    pub async fn spawn_paused() -> (Self, Arc<Notify>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        let (sender, calls) = mpsc::unbounded_channel();
        let count = Arc::new(AtomicUsize::new(0));
        let resume = Arc::new(Notify::new());
        let resumed = Arc::clone(&resume);
        let counted = Arc::clone(&count);
        tokio::spawn(async move {
            resumed.notified().await;
            accept(listener, sender, counted).await;
        });
        let backend = Self {
            address,
            calls,
            count,
        };
        (backend, resume)
    }

    /// The next request that reaches the backend.
    pub async fn call(&mut self) -> Call {
        self.calls.recv().await.expect("backend runs")
    }

    /// Requests that reached it so far.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

async fn accept(
    listener: TcpListener,
    sender: mpsc::UnboundedSender<Call>,
    count: Arc<AtomicUsize>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let sender = sender.clone();
        let count = Arc::clone(&count);
        let service = service_fn(move |request| {
            count.fetch_add(1, Ordering::SeqCst);
            let (respond, response) = tokio::sync::oneshot::channel();
            let _ = sender.send(Call { request, respond });
            async move {
                match response.await {
                    Ok(response) => Ok::<_, Infallible>(response),
                    Err(_) => std::future::pending().await,
                }
            }
        });
        tokio::spawn(async move {
            let builder = Builder::new(TokioExecutor::new());
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
