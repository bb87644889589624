//! Reading of the processes' own counters.

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

/// Time between two readings of a process.
const STEP: Duration = Duration::from_secs(1);
/// Longest time of a reading.
const LONGEST: Duration = Duration::from_millis(800);
/// Counters of control traffic, and the label of bytes sent: what one process
/// sends another receives.
const CONTROL: &str = "control_bytes_total";
const SENT: &str = "way=\"out\"";

/// Reads a path; `None` unless the answer is OK.
pub(crate) async fn get(client: &Client, address: SocketAddr, path: &str) -> Option<String> {
    let request = Request::get(format!("http://{address}{path}"));
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let answer = timeout(LONGEST, client.request(request)).await.ok()?.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let body = timeout(LONGEST, answer.into_body().collect())
        .await
        .ok()?
        .ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}

/// Sums control bytes of every process until an instant, over restarts.
pub(crate) async fn control(fleet: Arc<Fleet>, until: Instant) -> f64 {
    let mut last: HashMap<&str, f64> = HashMap::new();
    let mut total = 0.0;
    let mut ticks = interval(STEP);
    let mut is_first = true;
    while Instant::now() < until {
        ticks.tick().await;
        for process in fleet.routers.iter().chain(&fleet.sidecars) {
            let Some(text) = get(&fleet.client, process.status, "/metrics").await else {
                continue;
            };
            let now = sent(&text);
            let before = last.insert(&process.name, now).unwrap_or(0.0);
            // A process that has begun again counts from 0.
            let grown = if now < before { now } else { now - before };
            total += if is_first { 0.0 } else { grown };
        }
        is_first = false;
    }
    total
}

/// Control bytes that a process has sent.
fn sent(metrics: &str) -> f64 {
    let lines = metrics.lines().filter(|line| !line.starts_with('#'));
    let sent = lines.filter(|line| line.contains(CONTROL) && line.contains(SENT));
    let values = sent.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    values.sum()
}
