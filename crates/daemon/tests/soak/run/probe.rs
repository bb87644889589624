//! Readiness probes of the load balancer before the gateways.

use std::sync::atomic::Ordering;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{PROBE_INTERVAL, Run};
use crate::gateway::Gateway;

impl Run {
    /// A gateway in rotation, or any gateway if none is.
    pub(crate) fn pick_gateway(&self, draw: usize) -> usize {
        let ready: Vec<usize> = (0..self.gateways.len())
            .filter(|gateway| self.is_ready(*gateway))
            .collect();
        match ready.len() {
            0 => draw % self.gateways.len(),
            count => ready[draw % count],
        }
    }

    /// Whether a gateway is in rotation. Two failed probes in a row take it out.
    pub(super) fn is_ready(&self, gateway: usize) -> bool {
        self.probes_left[gateway].load(Ordering::Relaxed) > 0
    }

    pub(super) async fn probe(&self) {
        let probes = self
            .gateways
            .iter()
            .map(|gateway| timeout(PROBE_INTERVAL, probe_ready(gateway)));
        let responses = futures::future::join_all(probes).await;
        for (probes_left, response) in self.probes_left.iter().zip(responses) {
            let before = probes_left.load(Ordering::Relaxed);
            let now = if response.unwrap_or(false) {
                2
            } else {
                before.saturating_sub(1)
            };
            probes_left.store(now, Ordering::Relaxed);
        }
    }
}

async fn probe_ready(gateway: &Gateway) -> bool {
    let Ok(mut stream) = TcpStream::connect(gateway.health).await else {
        return false;
    };
    let request = b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut text = String::new();
    // Data received before a reset is valid.
    let _ = stream.read_to_string(&mut text).await;
    text.starts_with("HTTP/1.1 200")
}
