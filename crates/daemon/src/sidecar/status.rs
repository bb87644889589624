//! The status port: health, readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};

use super::shared::Shared;
use crate::metric;

/// Serves connections until dropped.
pub(crate) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|request| {
        let response = respond(&shared, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    // Connection errors concern the client only.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => (StatusCode::OK, "ok\n".to_owned()),
        (&Method::GET, "/readyz") => readiness(shared),
        (&Method::GET, "/metrics") => (StatusCode::OK, render_metrics(shared)),
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}

fn readiness(shared: &Shared) -> (StatusCode, String) {
    if shared.decide(|admission, _| admission.is_draining()) {
        return (StatusCode::SERVICE_UNAVAILABLE, "draining\n".to_owned());
    }
    if shared.decide(|admission, _| admission.is_backend_down()) {
        return (StatusCode::SERVICE_UNAVAILABLE, "backend down\n".to_owned());
    }
    (StatusCode::OK, "ready\n".to_owned())
}

fn render_metrics(shared: &Shared) -> String {
    let (load, running, backlogged) = shared.decide(|admission, _| {
        let backlogged = admission.ledger().backlogged();
        (admission.load(), admission.running_count(), backlogged)
    });
    let server = shared.settings.name.clone();
    metrics::gauge!("sidecar_slots", "server" => server.clone()).set(load.slots);
    metrics::gauge!("sidecar_free_slots", "server" => server.clone()).set(load.free);
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    metrics::gauge!("sidecar_running_requests", "server" => server.clone()).set(running as f64);
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    metrics::gauge!("sidecar_backlogged_customers", "server" => server.clone())
        .set(backlogged as f64);
    let bytes = &shared.control_bytes;
    metrics::counter!("sidecar_control_bytes_total", "server" => server.clone(), "way" => "in")
        .absolute(bytes.read());
    metrics::counter!("sidecar_control_bytes_total", "server" => server, "way" => "out")
        .absolute(bytes.written());
    metric::render()
}
