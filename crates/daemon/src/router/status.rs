//! The operators' port, as long as it serves only health and metrics. The
//! operators' commands are to be added here.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::core::Core;
use super::error::Error;
use super::inspect::Inspect;
use crate::metric;

/// The bound port.
#[derive(Debug)]
pub(crate) struct Status {
    accepting: JoinHandle<()>,
}

impl Status {
    pub(crate) async fn bind(core: &Arc<Core>) -> Result<Self, Error> {
        let address = core.settings.operators;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| Error::Operators { address, source })?;
        let accepting = tokio::spawn(accept(listener, Inspect::new(core)));
        Ok(Self { accepting })
    }

    pub(crate) async fn stop(self) {
        self.accepting.abort();
        // It was aborted.
        let _ = self.accepting.await;
    }
}

async fn accept(listener: TcpListener, inspect: Inspect) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, inspect.clone()));
    }
}

async fn serve(stream: TcpStream, inspect: Inspect) {
    let service = service_fn(move |request| {
        let response = answer(&inspect, &request);
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A prober that left early needs nothing more.
    let _ = connection.await;
}

fn answer(inspect: &Inspect, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" if inspect.is_ready() => text(StatusCode::OK, "ready\n".to_owned()),
        "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/metrics" => text(StatusCode::OK, metric::render()),
        _ => text(StatusCode::NOT_FOUND, "not found\n".to_owned()),
    }
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
