//! The data port, which serves requests from routers.

use std::convert::Infallible;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use mulberryyoke_decide::admission::Decision;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Ticket;
use mulberryyoke_wire::{Verdict, ticket};
use tokio::net::{TcpListener, TcpStream};

use super::exchange;
use super::response::{self, Body};
use super::shared::Shared;
use super::slot::Slot;

/// Maximum number of concurrent requests per connection.
const MAX_STREAMS: u32 = 16_384;

/// Accepts connections from routers until the sidecar closes, then shuts down
/// gracefully.
pub(crate) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.closed.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream, &graceful, &shared),
            Err(_) => tokio::task::yield_now().await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve(stream: TcpStream, graceful: &GracefulShutdown, shared: &Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http2().max_concurrent_streams(MAX_STREAMS);
    let shared = Arc::clone(shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(handle(&shared, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        // Requests on a failed connection end on their own.
        let _ = connection.await;
    });
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let header = request.headers().get(ticket::HEADER);
    let header = header.and_then(|value| value.to_str().ok());
    let Some(ticket) = header.and_then(|text| ticket::unpack(text).ok()) else {
        return response::reject(Verdict::Malformed, None);
    };
    if ticket.key.is_some() {
        shared
            .registration
            .register(shared, ticket.attempt.origin)
            .await;
    }
    let decision = shared.decide(|admission, now| admission.admit(&ticket, now));
    match decision {
        Decision::Started => start(shared, ticket, request).await,
        decision => reject(shared, &ticket, &decision),
    }
}

async fn start(shared: &Arc<Shared>, ticket: Ticket, request: Request<Incoming>) -> Response<Body> {
    log!(shared.logger, Event::Started,
        "request" => ticket.attempt.request_id(), "attempt" => ticket.attempt.number,
        "customer" => ticket.customer.0, "class" => ticket.class.as_str(), "cost" => ticket.cost,
        "grant" => ticket.grant);
    let slot = Slot::new(Arc::clone(shared), ticket);
    exchange::spawn(slot, request).await
}

fn reject(shared: &Shared, ticket: &Ticket, decision: &Decision) -> Response<Body> {
    let (verdict, retry_at) = match decision {
        Decision::Replay(stored) => return response::replay(stored),
        Decision::RetryAt(at) => (Verdict::RetryAfter, Some(*at)),
        Decision::Started | Decision::Busy => (Verdict::Busy, None),
        Decision::Draining => (Verdict::Draining, None),
        Decision::Withdrawn => (Verdict::Withdrawn, None),
        Decision::DeadlineExceeded => (Verdict::DeadlineExceeded, None),
        Decision::Indeterminate => (Verdict::Indeterminate, None),
        Decision::Running => (Verdict::Running, None),
        Decision::Completed => (Verdict::Completed, None),
        Decision::Interrupted => (Verdict::Interrupted, None),
    };
    log!(shared.logger, Event::Rejected,
        "request" => ticket.attempt.request_id(), "attempt" => ticket.attempt.number,
        "customer" => ticket.customer.0, "verdict" => verdict.as_str());
    metrics::counter!("sidecar_refusals_total",
        "server" => shared.settings.name.clone(), "verdict" => verdict.as_str())
    .increment(1);
    response::reject(verdict, retry_at)
}
