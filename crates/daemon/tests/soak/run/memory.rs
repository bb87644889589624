//! Memory of the gateway processes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

use super::Run;
use crate::gateway::MEMORY_MB;

/// Interval between two readings of the memory.
const READ_INTERVAL: Duration = Duration::from_millis(50);

impl Run {
    /// Records the largest resident memory of each gateway until the run is finished.
    pub(super) async fn watch_memory(self: Arc<Self>) {
        while !self.is_finished() {
            for (gateway, peak_mb) in self.gateways.iter().zip(&self.peaks_mb) {
                // A gateway that is being restarted has no memory.
                let resident_mb = gateway.resident_mb().unwrap_or(0);
                peak_mb.fetch_max(resident_mb, Ordering::Relaxed);
            }
            sleep(READ_INTERVAL).await;
        }
    }

    /// Gateways that exceeded the memory of their VM, at which they would have been killed.
    pub(super) fn memory_findings(&self) -> impl Iterator<Item = String> {
        let peaks_mb = self.peaks_mb.iter().enumerate();
        let peaks_mb = peaks_mb.map(|(gateway, peak)| (gateway, peak.load(Ordering::Relaxed)));
        let exceeded = peaks_mb.filter(|(_, peak_mb)| *peak_mb > MEMORY_MB);
        exceeded.map(|(gateway, peak_mb)| format!("memory: gateway {gateway} took {peak_mb} MB"))
    }
}
