//! Readiness probes and metrics.

use std::convert::Infallible;
use std::error::Error;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use mulberryyoke_event::{Event, log};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::core::Core;
use crate::{listen, memory, streams};

/// Configuration age from which a node is not ready, in milliseconds: a call to the key-value
/// service and its retry have failed.
const MAX_AGE_MS: u64 = 3_600;

/// Time since the last contact with the key-value service from which a node is not ready, in
/// milliseconds: two renewals of its lease have failed.
const MAX_CONTACT_AGE_MS: u64 = 3_600;

/// Time limit for a request head, which an idle connection reaches as well. Clients close theirs after
/// half of it.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which the samples of the histograms are processed.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bounds of the latency histograms' buckets, in seconds.
const BUCKETS_S: [f64; 11] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.0, 1.5, 5.0, 15.0];

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the process-wide metrics recorder, unless it is installed.
pub(crate) fn install_metrics() {
    recorder();
}

/// Renders the metrics of this process.
pub(crate) fn render_metrics(core: &Core) -> String {
    let age_s = Duration::from_millis(core.view.age_ms()).as_secs_f64();
    metrics::gauge!("configuration_age_seconds").set(age_s);
    let contact_age_s = Duration::from_millis(core.view.kv_contact_age_ms()).as_secs_f64();
    metrics::gauge!("kv_reached_age_seconds").set(contact_age_s);
    metrics::gauge!("callers_connections").set(core.connections.load(Ordering::Relaxed));
    core.buffers.record_metrics();
    core.mirror.record_metrics();
    memory::record_metrics();
    #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
    metrics::gauge!("configurations_held").set(core.view.configs_held() as f64);
    let config = core.view.config();
    for (pool, count) in core.waiting.counts() {
        let pool = config.as_ref().and_then(|config| config.pool(pool));
        if let Some(pool) = pool {
            let name = pool.name.clone();
            #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
            metrics::gauge!("waiting_requests", "pool" => name).set(count as f64);
        }
    }
    for (id, stats) in core.registry.pool_stats() {
        let Some(pool) = config.as_ref().and_then(|config| config.pool(id)) else {
            continue;
        };
        let pool_name = pool.name.clone();
        if pool.model.is_some() {
            let latency = stats.latency();
            metrics::gauge!("prefill_tokens_per_ms", "pool" => pool_name.clone())
                .set(latency.tokens_per_ms());
            metrics::gauge!("first_token_fixed_ms", "pool" => pool_name).set(latency.fixed_ms());
        } else {
            metrics::gauge!("service_ms", "pool" => pool_name).set(stats.service().mean_ms());
        }
    }
    let version = config.map_or(0, |config| config.version());
    #[expect(clippy::cast_precision_loss, reason = "gauges are floating-point")]
    metrics::gauge!("configuration_version").set(version as f64);
    recorder().map_or_else(String::new, |recorder| {
        recorder.run_upkeep();
        recorder.render()
    })
}

/// Processes the samples of the histograms until the gateway terminates. Otherwise they pile up
/// until somebody fetches the metrics.
pub(crate) async fn maintain_metrics(core: Arc<Core>) {
    loop {
        tokio::select! {
            () = core.shutdown.terminate.cancelled() => return,
            () = sleep(UPKEEP_INTERVAL) => {}
        }
        if let Some(recorder) = recorder() {
            recorder.run_upkeep();
        }
    }
}

fn recorder() -> Option<&'static PrometheusHandle> {
    let recorder = RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S).ok()?;
        builder.install_recorder().ok()
    });
    recorder.as_ref()
}

/// Returns whether the balancer should send callers to this node.
pub(crate) fn is_ready(core: &Core) -> bool {
    let has_config = core.view.config().is_some();
    let is_fresh =
        core.view.age_ms() < MAX_AGE_MS && core.view.kv_contact_age_ms() < MAX_CONTACT_AGE_MS;
    let is_fresh = is_fresh && !core.view.predates_suspension();
    let is_fresh = is_fresh && streams::is_settled(core);
    let has_room = !core.overload.is_backing_off() && !core.memory.is_critical();
    has_config && is_fresh && has_room && !core.shutdown.drain.is_cancelled()
}

/// Handles a readiness probe.
pub(crate) async fn handle(
    core: Arc<Core>,
    _: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::default());
    if !is_ready(&core) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

/// Serves HTTP on a listener until the gateway terminates.
pub(crate) async fn serve<F, B>(
    core: Arc<Core>,
    listener: TcpListener,
    handle: impl Fn(Arc<Core>, Request<Incoming>) -> F + Copy + Send + 'static,
) where
    F: Future<Output = Result<Response<B>, Infallible>> + Send + 'static,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
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
                sleep(listen::ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let core = Arc::clone(&core);
        let service = service_fn(move |request| handle(Arc::clone(&core), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        // Clients may disconnect at any time.
        tokio::spawn(async move { drop(connection.await) });
    }
}
