//! Serving a caller's connection, and closing it after a response.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::Watcher;
use mulberryyoke_event::{Event, log};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::origin::Origin;
use crate::call::Call;
use crate::core::Core;
use crate::inbound::Inbound;
use crate::refusal::Refusal;
use crate::response_body::ResponseBody;
use crate::short_read::ShortRead;
use crate::{clock, dispatch};

/// Default maximum size of a request head, in bytes, until a configuration has been loaded.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// Default timeout for reading a request head, in milliseconds, until a configuration has been
/// loaded.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Minimum buffer size that Hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Divisor of the file descriptor limit: above this fraction, connections of refused callers are
/// closed.
const DESCRIPTORS_DIVISOR: u64 = 8;

/// Spawns a task that serves a connection until it closes or the gateway terminates.
pub(super) fn serve(core: &Arc<Core>, watcher: Watcher, stream: TcpStream, origin: Origin) {
    let config = core.view.config();
    let limits = config.as_ref().map(|config| config.limits());
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_head_bytes);
    let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| limits.idle_timeout_ms);
    let cut = Arc::new(Notify::new());
    let has_old_caller = Arc::new(AtomicBool::new(false));
    let is_reset = Arc::new(AtomicBool::new(false));
    let service = {
        let (core, cut) = (Arc::clone(core), Arc::clone(&cut));
        let has_old_caller = Arc::clone(&has_old_caller);
        service_fn(move |request| {
            // Without chunks only a reset tells that a response is incomplete.
            if request.version() < Version::HTTP_11 {
                has_old_caller.store(true, Ordering::Relaxed);
            }
            handle(Arc::clone(&core), request, origin, Arc::clone(&cut))
        })
    };
    let stream = ShortRead::new(stream, Arc::clone(&is_reset));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let connection = watcher.watch(connection);
    let terminate = core.shutdown.terminate.clone();
    core.connections.fetch_add(1, Ordering::Relaxed);
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let mut connection = pin!(connection);
        let is_complete = tokio::select! {
            // Errors are reported by the connection's requests.
            result = &mut connection => result.is_ok(),
            () = cut.notified() => false,
            () = terminate.cancelled() => false,
        };
        let is_unmarked = !is_complete && has_old_caller.load(Ordering::Relaxed);
        is_reset.store(is_unmarked, Ordering::Relaxed);
        core.connections.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn handle(
    core: Arc<Core>,
    request: Request<Incoming>,
    origin: Origin,
    cut: Arc<Notify>,
) -> Result<Response<ResponseBody>, Infallible> {
    let received_at = Instant::now();
    metrics::counter!("requests_total").increment(1);
    let mut response = match Inbound::parse(&core, request, cut) {
        Ok(inbound) => {
            let id = inbound.head.id.clone();
            // Hyper keeps the memory of this future until the connection closes.
            let result = Box::pin(run(&core, inbound)).await;
            result.unwrap_or_else(|refusal| refuse(&core, &id, received_at, refusal))
        }
        Err(refusal) => refuse(&core, "", received_at, refusal),
    };
    if origin == Origin::HandedOff || closes_connection(&core, response.status()) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

async fn run(core: &Arc<Core>, inbound: Inbound) -> Result<Response<ResponseBody>, Refusal> {
    if core.shutdown.refuse.is_cancelled() {
        return Err(Refusal::Stopping);
    }
    let call = tokio::select! {
        call = inbound.into_call(core) => Arc::new(call?),
        () = core.shutdown.answer.cancelled() => return Err(Refusal::Stopping),
    };
    // The body may have come slowly.
    if core.shutdown.refuse.is_cancelled() {
        return Err(Refusal::Stopping);
    }
    let response = tokio::select! {
        response = dispatch::run(core, &call) => Some(response?),
        () = core.shutdown.answer.cancelled() => None,
    };
    let Some(response) = response else {
        return Err(unanswered(&call));
    };
    let elapsed = Instant::now() - call.received_at;
    let kind = call.route.kind.as_str();
    metrics::histogram!("first_answer_seconds", "kind" => kind).record(elapsed.as_secs_f64());
    log!(core.logger, Event::Answered,
        "request" => &call.id,
        "status" => response.status().as_u16(),
        "elapsed_ms" => clock::between_ms(call.received_at, Instant::now()));
    Ok(response)
}

/// Returns the refusal of a request that has no answer at the end of the grace period.
fn unanswered(call: &Call) -> Refusal {
    if call.is_sent.load(Ordering::Relaxed) {
        Refusal::OutcomeUnknown
    } else {
        Refusal::Stopping
    }
}

/// Returns whether to close the connection after this response, so that the caller's next request
/// reaches another node or is handed off to one.
fn closes_connection(core: &Core, status: StatusCode) -> bool {
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    let is_refusal = refusals.contains(&status);
    let is_draining = core.shutdown.drain.is_cancelled();
    let hands_off = core.overload.hands_off() && core.exchange.has_handoff_target();
    is_draining
        || hands_off
        || core.overload.closes_connections()
        || (is_refusal && is_crowded(core))
}

/// Returns whether so many connections are open that those of refused callers are closed.
fn is_crowded(core: &Core) -> bool {
    let max = core.settings.load().descriptors / DESCRIPTORS_DIVISOR;
    u64::from(core.connections.load(Ordering::Relaxed)) > max
}

/// Records a refusal and returns the response to it.
fn refuse(core: &Core, id: &str, received_at: Instant, refusal: Refusal) -> Response<ResponseBody> {
    metrics::counter!("refused_total", "why" => refusal.code()).increment(1);
    log!(core.logger, Event::Refused,
        "request" => id,
        "code" => refusal.code(),
        "retry_ms" => refusal.retry_after_ms(),
        "view_age_ms" => core.view.age_ms(),
        "elapsed_ms" => clock::between_ms(received_at, Instant::now()));
    refusal.into_response()
}
