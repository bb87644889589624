//! The callers' port.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use mulberryyoke_event::{Event, log};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use crate::answer::Answer;
use crate::core::Core;
use crate::intake::Intake;
use crate::refusal::Refusal;
use crate::{clock, dispatch, handoff, socket};

/// Largest head of a request before a configuration tells another bound, in bytes.
const HEAD_BYTES: usize = 16 << 10;

/// Longest time without a whole head before a configuration tells another bound, in
/// milliseconds.
const IDLE_MS: u64 = 15_000;

/// Smallest buffer that the library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;

/// Part of the file descriptors that callers' connections may have before some are closed.
const CROWDED_PART: u64 = 8;

/// Pause after a failure to accept, for example for want of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a connection that was handed on takes requests. A gateway that stops hands
/// on no more, so that after this time none come that would be cut off at its end: a kept one
/// that had rested brought a request seconds after the stop.
const HANDED_ON: Duration = Duration::from_secs(2);

/// How a caller's connection came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// From the balancer.
    Direct,
    /// Handed on by another gateway, which may stop at any time: it ends after [`HANDED_ON`], or
    /// with the answer that is due then.
    HandedOn,
}

/// Time between looks for whether connections can still be handed on while a node is overloaded.
const LOOK: Duration = Duration::from_millis(200);

/// Takes callers' connections, directly and as others hand them on, until the ports are closed,
/// then lets the open ones end.
pub(crate) async fn serve(core: Arc<Core>, callers: TcpListener, handoff: Option<TcpListener>) {
    let shutdown = GracefulShutdown::new();
    tokio::join!(
        take(&core, &shutdown, Some(callers), Way::Direct),
        take(&core, &shutdown, handoff, Way::HandedOn),
    );
    let ended = async {
        shutdown.shutdown().await;
        core.handed_on.close();
        core.handed_on.wait().await;
    };
    tokio::select! {
        () = core.stop.end.cancelled() => {}
        () = ended => core.stop.end.cancel(),
    }
}

/// Takes connections until the port is closed. While the node has more to do than its processor
/// can, nothing listens at the port: callers are told at once and at no cost to the node, and
/// try another one. Else they wait a second for a connection and then have one more try: 48,000
/// of 200,000 tries in a minute ended so where one caller with most of a zone's traffic met one
/// small node.
async fn take(
    core: &Arc<Core>,
    shutdown: &GracefulShutdown,
    mut listening: Option<TcpListener>,
    way: Way,
) {
    // Callers come for a while after the node said that it leaves; other gateways know better
    // ones at once.
    let closing = match way {
        Way::Direct => &core.stop.close,
        Way::HandedOn => &core.stop.leave,
    };
    while let Some(listener) = listening.take() {
        let address = listener.local_addr();
        tokio::select! {
            () = closing.cancelled() => return,
            () = accept(core, shutdown, listener, way) => {}
        }
        tokio::select! {
            () = closing.cancelled() => return,
            reopened = reopen(core, address) => listening = Some(reopened),
        }
    }
}

/// Opens the port again once the node has caught up.
async fn reopen(core: &Core, address: io::Result<SocketAddr>) -> TcpListener {
    loop {
        core.strain.wait(false).await;
        let opened = match &address {
            Ok(address) => TcpListener::bind(address).await,
            Err(error) => Err(io::Error::new(error.kind(), error.to_string())),
        };
        match opened {
            Ok(listener) => return listener,
            Err(error) => {
                log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Takes connections until the node has more to do than its processor can.
async fn accept(core: &Arc<Core>, shutdown: &GracefulShutdown, listener: TcpListener, way: Way) {
    if let Err(error) = socket::tune(&listener) {
        log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
    }
    let mut inherits = None;
    let mut strained = pin!(overloaded(core, way));
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut strained => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let inherits = *inherits.get_or_insert_with(|| socket::is_tuned(&stream));
                if inherits || is_usable(core, &stream) {
                    route(core, shutdown, stream, way);
                }
            }
            Err(error) => {
                log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until the node has more to do than its processor can and nobody to hand connections on
/// to: that it can do for many times as many as it can serve.
async fn overloaded(core: &Core, way: Way) {
    loop {
        core.strain.wait(true).await;
        if way == Way::HandedOn || !core.exchange.has_larger() {
            return;
        }
        sleep(LOOK).await;
    }
}

/// Sets a connection's options; `false` if the caller has gone meanwhile.
fn is_usable(core: &Core, stream: &TcpStream) -> bool {
    let tuned = socket::tune(stream);
    if let Err(error) = &tuned {
        log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
    }
    tuned.is_ok()
}

/// Serves a connection, or has a larger gateway serve it while this one is behind.
fn route(core: &Arc<Core>, shutdown: &GracefulShutdown, stream: TcpStream, way: Way) {
    if way == Way::HandedOn || !core.strain.is_behind() || core.stop.leave.is_cancelled() {
        return connect(core, shutdown.watcher(), stream, way);
    }
    let (core, watcher) = (Arc::clone(core), shutdown.watcher());
    let tracker = core.handed_on.clone();
    tracker.spawn(async move {
        match handoff::open(&core).await {
            Some(gateway) => handoff::pass(core, stream, gateway).await,
            None => connect(&core, watcher, stream, way),
        }
    });
}

fn connect(core: &Arc<Core>, watcher: Watcher, stream: TcpStream, way: Way) {
    let plan = core.view.plan();
    let limits = plan.as_ref().map(|plan| plan.limits());
    let head_bytes = limits.map_or(HEAD_BYTES, |limits| limits.head_bytes);
    let idle_ms = limits.map_or(IDLE_MS, |limits| limits.idle_ms);
    let service = {
        let core = Arc::clone(core);
        service_fn(move |request| answer(Arc::clone(&core), request))
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let end = core.stop.end.clone();
    core.connections.fetch_add(1, Ordering::Relaxed);
    let core = Arc::clone(core);
    tokio::spawn(async move {
        // How a connection fails is seen in its requests.
        let ended = async {
            match way {
                Way::Direct => drop(watcher.watch(connection).await),
                Way::HandedOn => {
                    let mut connection = pin!(connection);
                    if timeout(HANDED_ON, connection.as_mut()).await.is_err() {
                        connection.as_mut().graceful_shutdown();
                        drop(connection.await);
                    }
                    // Until now the port counts it as open.
                    drop(watcher);
                }
            }
        };
        tokio::select! {
            () = ended => {}
            () = end.cancelled() => {}
        }
        core.connections.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn answer(
    core: Arc<Core>,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Infallible> {
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
    if ends_connection(&core, response.status()) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

async fn run(core: &Arc<Core>, intake: Intake) -> Result<Response<Answer>, Refusal> {
    if core.stop.refuse.is_cancelled() {
        return Err(Refusal::Stopping);
    }
    let call = Arc::new(intake.read(core).await?);
    let response = dispatch::answer(core, &call).await?;
    let elapsed = Instant::now() - call.since;
    let kind = call.route.kind.word();
    metrics::histogram!("first_answer_seconds", "kind" => kind).record(elapsed.as_secs_f64());
    log!(core.logger, Event::Answered,
        "request" => &call.id,
        "status" => response.status().as_u16(),
        "elapsed_ms" => clock::between_ms(call.since, Instant::now()));
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
    let is_leaving = core.stop.leave.is_cancelled();
    let is_handed_on = core.strain.is_behind() && core.exchange.has_larger();
    is_leaving || is_handed_on || core.strain.sends_away() || (is_refusal && is_crowded(core))
}

/// Whether so many connections are open that those of refused callers are closed:
/// they come back on new ones.
fn is_crowded(core: &Core) -> bool {
    let most = core.settings.load().descriptors / CROWDED_PART;
    u64::from(core.connections.load(Ordering::Relaxed)) > most
}

/// Records a refusal and words it for the caller.
fn refuse(core: &Core, id: &str, since: Instant, refusal: Refusal) -> Response<Answer> {
    metrics::counter!("refused_total", "why" => refusal.word()).increment(1);
    log!(core.logger, Event::Refused,
        "request" => id,
        "code" => refusal.word(),
        "retry_ms" => refusal.retry_ms(),
        "view_age_ms" => core.view.age_ms(),
        "elapsed_ms" => clock::between_ms(since, Instant::now()));
    refusal.response()
}
