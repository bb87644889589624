//! A backend whose responses are controlled by the test.

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

/// A request received by the backend, to be answered by the test.
pub struct Call {
    pub request: Request<Incoming>,
    responder: tokio::sync::oneshot::Sender<Response<BoxBody<Bytes, Aborted>>>,
}

/// A response body. Dropping it ends the body.
pub struct Stream {
    frames: mpsc::Sender<Result<Frame<Bytes>, Aborted>>,
}

#[derive(Debug, displaydoc::Display)]
/// response body aborted by the test
pub struct Aborted;

impl std::error::Error for Aborted {}

impl Call {
    /// Sends the response head and returns the body.
    pub fn respond(self, content_type: &str) -> Stream {
        self.respond_with(content_type, &[])
    }

    pub fn respond_with(self, content_type: &str, headers: &[(&str, &str)]) -> Stream {
        let (frames, mut received) = mpsc::channel(1);
        let mut ended = false;
        let body = futures::stream::poll_fn(move |cx| {
            if ended {
                return std::task::Poll::Ready(None);
            }
            received.poll_recv(cx).map(|frame| match frame {
                Some(Ok(frame)) => Some(Ok(frame)),
                Some(Err(Aborted)) => {
                    ended = true;
                    Some(Err(Aborted))
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
        // Fails if the sidecar has disconnected.
        let _ = self.responder.send(response);
        Stream { frames }
    }
}

impl Stream {
    /// Sends a part of the body.
    pub async fn send(&self, text: &str) {
        let frame = Frame::data(Bytes::copy_from_slice(text.as_bytes()));
        self.frames
            .send(Ok(frame))
            .await
            .expect("sidecar reads the body");
    }

    /// Sends an event with one token.
    pub async fn send_token(&self) {
        self.send("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
            .await;
    }

    /// Ends the body with an error.
    pub async fn abort(self) {
        let _ = self.frames.send(Err(Aborted)).await;
    }

    /// Waits until the sidecar disconnects.
    pub async fn disconnected(&self) {
        self.frames.closed().await;
    }
}

/// A backend on the loopback interface.
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

    /// A backend that accepts no connection until notified.
    pub async fn spawn_paused() -> (Self, Arc<Notify>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("can bind");
        let address = listener.local_addr().expect("has an address");
        let (sender, calls) = mpsc::unbounded_channel();
        let count = Arc::new(AtomicUsize::new(0));
        let resume = Arc::new(Notify::new());
        let started = Arc::clone(&resume);
        let counter = Arc::clone(&count);
        tokio::spawn(async move {
            started.notified().await;
            accept(listener, sender, counter).await;
        });
        let backend = Self {
            address,
            calls,
            count,
        };
        (backend, resume)
    }

    /// Waits for the next request.
    pub async fn next_call(&mut self) -> Call {
        self.calls.recv().await.expect("backend is running")
    }

    /// Number of requests received.
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
            let (responder, response) = tokio::sync::oneshot::channel();
            let _ = sender.send(Call { request, responder });
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
