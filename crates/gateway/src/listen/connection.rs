//! Serving a caller's connection, and whether it ends with an answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::Watcher;
use mulberryyoke_event::{Event, log};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::way::Way;
use crate::core::Core;
use crate::intake::Intake;
use crate::refusal::Refusal;
use crate::response_body::ResponseBody;
use crate::{clock, dispatch};

/// Largest head of a request before a configuration tells another bound, in bytes.
const HEAD_BYTES: usize = 16 << 10;

/// Longest time without a whole head before a configuration tells another bound, in
/// milliseconds.
const IDLE_MS: u64 = 15_000;

/// Smallest buffer that the library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;

/// Part of the file descriptors that callers' connections may have before some are closed.
const CROWDED_PART: u64 = 8;

/// Serves a connection until it ends or the node does.
pub(super) fn connect(core: &Arc<Core>, watcher: Watcher, stream: TcpStream, way: Way) {
    let plan = core.view.plan();
    let limits = plan.as_ref().map(|plan| plan.limits());
    let head_bytes = limits.map_or(HEAD_BYTES, |limits| limits.max_head_bytes);
    let idle_ms = limits.map_or(IDLE_MS, |limits| limits.idle_timeout_ms);
    let service = {
        let core = Arc::clone(core);
        service_fn(move |request| answer(Arc::clone(&core), request, way))
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let connection = watcher.watch(connection);
    let end = core.shutdown.terminate.clone();
    core.connections.fetch_add(1, Ordering::Relaxed);
    let core = Arc::clone(core);
    tokio::spawn(async move {
        tokio::select! {
            // How a connection fails is seen in its requests.
            _ = connection => {}
            () = end.cancelled() => {}
        }
        core.connections.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn answer(
    core: Arc<Core>,
    request: Request<Incoming>,
    way: Way,
) -> Result<Response<ResponseBody>, Infallible> {
    let since = Instant::now();
    metrics::counter!("requests_total").increment(1);
    let mut response = match Intake::open(&core, request) {
        Ok(intake) => {
            let id = intake.ask.id.clone();
            let answered = run(&core, intake).await;
            answered.unwrap_or_else(|refusal| refuse(&core, &id, since, refusal))
        }
        Err(refusal) => refuse(&core, "", since, refusal),
    };
    if way == Way::HandedOn || ends_connection(&core, response.status()) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

async fn run(core: &Arc<Core>, intake: Intake) -> Result<Response<ResponseBody>, Refusal> {
    if core.shutdown.refuse.is_cancelled() {
        return Err(Refusal::Stopping);
    }
    let call = Arc::new(intake.read(core).await?);
    let response = dispatch::run(core, &call).await?;
    let elapsed = Instant::now() - call.received_at;
    let kind = call.route.kind.as_str();
    metrics::histogram!("first_answer_seconds", "kind" => kind).record(elapsed.as_secs_f64());
    log!(core.logger, Event::Answered,
        "request" => &call.id,
        "status" => response.status().as_u16(),
        "elapsed_ms" => clock::between_ms(call.received_at, Instant::now()));
    Ok(response)
}

/// Whether the caller's connection ends with this answer, so that its next request
/// goes to another node, or is handed on to one.
fn ends_connection(core: &Core, status: StatusCode) -> bool {
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    let is_refusal = refusals.contains(&status);
    let is_leaving = core.shutdown.drain.is_cancelled();
    let is_handed_on = core.strain.is_behind() && core.exchange.has_handoff_target();
    is_leaving || is_handed_on || core.strain.sends_away() || (is_refusal && is_crowded(core))
}

/// Whether so many connections are open that those of refused callers are closed:
/// they come back on new ones.
fn is_crowded(core: &Core) -> bool {
    let most = core.settings.load().descriptors / CROWDED_PART;
    u64::from(core.connections.load(Ordering::Relaxed)) > most
}

/// Records a refusal and words it for the caller.
fn refuse(core: &Core, id: &str, since: Instant, refusal: Refusal) -> Response<ResponseBody> {
    metrics::counter!("refused_total", "why" => refusal.code()).increment(1);
    log!(core.logger, Event::Refused,
        "request" => id,
        "code" => refusal.code(),
        "retry_ms" => refusal.retry_after_ms(),
        "view_age_ms" => core.view.age_ms(),
        "elapsed_ms" => clock::between_ms(since, Instant::now()));
    refusal.into_response()
}
