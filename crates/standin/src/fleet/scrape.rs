//! Scrapes the metrics of the processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::time::{Instant, interval, timeout};

use super::call::Client;
use super::setup::Fleet;

/// Interval between scrapes.
const INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request and of reading its response.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Name of the counter of control traffic, without its prefix.
const CONTROL_BYTES_METRIC: &str = "control_bytes_total";
/// Label of sent bytes. Received bytes are skipped, since another process counts them as sent.
const SENT_LABEL: &str = "way=\"out\"";

/// Sends a GET request; returns the body if the status is a success.
pub(crate) async fn get(client: &Client, address: SocketAddr, path: &str) -> Option<String> {
    let request = Request::get(format!("http://{address}{path}"));
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let response = timeout(TIMEOUT, client.request(request)).await.ok()?.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = timeout(TIMEOUT, response.into_body().collect())
        .await
        .ok()?
        .ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}

/// Sums the control bytes sent by all processes until an instant, including restarted processes.
pub(crate) async fn control_bytes(fleet: Arc<Fleet>, until: Instant) -> f64 {
    let mut last: HashMap<&str, f64> = HashMap::new();
    let mut total = 0.0;
    let mut ticks = interval(INTERVAL);
    let mut is_first = true;
    while Instant::now() < until {
        ticks.tick().await;
        for process in fleet.routers.iter().chain(&fleet.sidecars) {
            let Some(text) = get(&fleet.client, process.status, "/metrics").await else {
                continue;
            };
            let current = sent_control_bytes(&text);
            let previous = last.insert(&process.name, current).unwrap_or(0.0);
            // The counters of a restarted process start at 0.
            let increase = if current < previous {
                current
            } else {
                current - previous
            };
            total += if is_first { 0.0 } else { increase };
        }
        is_first = false;
    }
    total
}

/// Sums the counters of sent control bytes.
fn sent_control_bytes(metrics: &str) -> f64 {
    let lines = metrics.lines().filter(|line| !line.starts_with('#'));
    let sent =
        lines.filter(|line| line.contains(CONTROL_BYTES_METRIC) && line.contains(SENT_LABEL));
    let values = sent.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum()
}
