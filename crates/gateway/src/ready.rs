//! Readiness and metrics.

use std::convert::Infallible;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;

use crate::core::Core;

/// Path of the metrics; every other path tells readiness.
const METRICS: &str = "/metrics";

/// Age of the configuration from which a node is not ready, in milliseconds: a call
/// to the key-value service has failed by then, and its repetition.
const FRESH_MS: u64 = 3_600;

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Begins the recording of metrics, unless it has begun.
pub(crate) fn install() {
    handle();
}

fn handle() -> Option<&'static PrometheusHandle> {
    let handle = HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
    handle.as_ref()
}

/// Whether callers should be sent to this node.
pub(crate) fn is_ready(core: &Core) -> bool {
    let has_plan = core.view.plan().is_some();
    let is_fresh = core.view.age_ms() < FRESH_MS;
    has_plan && is_fresh && !core.strain.is_strained() && !core.stop.leave.is_cancelled()
}

/// Answers questions for readiness and metrics until the gateway ends.
pub(crate) async fn serve(core: Arc<Core>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = core.stop.end.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let core = Arc::clone(&core);
        let service = service_fn(move |request| {
            let answer = answer(&core, &request);
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // One who asks and goes is of no concern.
        tokio::spawn(async move { drop(connection.await) });
    }
}

fn answer(core: &Core, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS {
        let text = handle().map_or_else(String::new, |handle| {
            handle.run_upkeep();
            handle.render()
        });
        return Response::new(Full::new(Bytes::from(text)));
    }
    let mut response = Response::new(Full::default());
    if !is_ready(core) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
