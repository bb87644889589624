//! Whether callers should be sent to this node.

use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use mulberryyoke_event::{Event, log};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::core::Core;
use crate::listen;

/// Age of the configuration from which a node is not ready, in milliseconds: a call
/// to the key-value service has failed by then, and its repetition.
const FRESH_MS: u64 = 3_600;

/// Time since this node itself last reached the key-value service from which it is
/// not ready, in milliseconds: two renewals of its lease have failed by then.
const REACH_MS: u64 = 3_600;

/// Upper bounds of the latency histograms, in seconds: from a short answer of a plain
/// service to the longest time that callers wait.
const BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.5, 5.0, 15.0];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Begins the recording of metrics, unless it has begun.
pub(crate) fn install() {
    handle();
}

/// Every metric of this process.
pub(crate) fn metrics(core: &Core) -> String {
    let age_s = Duration::from_millis(core.view.age_ms()).as_secs_f64();
    metrics::gauge!("configuration_age_seconds").set(age_s);
    let reach_s = Duration::from_millis(core.view.kv_contact_age_ms()).as_secs_f64();
    metrics::gauge!("kv_reached_age_seconds").set(reach_s);
    metrics::gauge!("callers_connections").set(core.connections.load(Ordering::Relaxed));
    let config = core.view.config();
    let version = config.map_or(0, |config| config.version());
    #[expect(clippy::cast_precision_loss, reason = "a gauge is a floating number")]
    metrics::gauge!("configuration_version").set(version as f64);
    handle().map_or_else(String::new, |handle| {
        handle.run_upkeep();
        handle.render()
    })
}

fn handle() -> Option<&'static PrometheusHandle> {
    let handle = HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S).ok()?;
        builder.install_recorder().ok()
    });
    handle.as_ref()
}

/// Whether callers should be sent to this node.
pub(crate) fn is_ready(core: &Core) -> bool {
    let has_config = core.view.config().is_some();
    let is_fresh = core.view.age_ms() < FRESH_MS && core.view.kv_contact_age_ms() < REACH_MS;
    let is_fresh = is_fresh && !core.view.predates_suspension();
    has_config && is_fresh && !core.strain.is_away() && !core.shutdown.drain.is_cancelled()
}

/// Answers one question for readiness.
pub(crate) async fn answer(
    core: Arc<Core>,
    _: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::default());
    if !is_ready(&core) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

/// Serves a port with short answers until the gateway ends.
pub(crate) async fn serve<F>(
    core: Arc<Core>,
    listener: TcpListener,
    answer: impl Fn(Arc<Core>, Request<Incoming>) -> F + Copy + Send + 'static,
) where
    F: Future<Output = Result<Response<Full<Bytes>>, Infallible>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = core.shutdown.terminate.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log!(core.logger, Event::AcceptFailed, "error" => error.to_string());
                sleep(listen::ACCEPT_PAUSE).await;
                continue;
            }
        };
        let core = Arc::clone(&core);
        let service = service_fn(move |request| answer(Arc::clone(&core), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // One who asks and goes is of no concern.
        tokio::spawn(async move { drop(connection.await) });
    }
}
