//! Choice of the collector that sends this gateway the fleet sum.

use std::net::SocketAddr;

use mulberryyoke_decide::aggregate::COLLECTORS_PER_ZONE;

/// Time without a fleet sum after which other collectors are asked for it, in milliseconds:
/// the maximum interval and a margin for delays.
const SILENCE_MS: u64 = 350;

/// Time without a fleet sum after which the next gateways of the zone are asked to act as
/// collectors, in milliseconds. Repeats until one responds.
const FAILOVER_MS: u64 = 700;

/// The collector that sends this gateway the fleet sum, and the failover to other gateways.
#[derive(Debug, Default)]
pub(super) struct FleetSource {
    selected: Option<SocketAddr>,
    received_ms: u64,
    /// When the last failover happened.
    failover_ms: u64,
    /// Number of unresponsive gateways of the zone to skip; 0 while its collectors respond.
    skipped: usize,
}

impl FleetSource {
    /// Records a fleet sum from one of the zone's collectors or from a replacement, before which
    /// `skipped` gateways are asked. All gateways return to the first ones that respond, so that they
    /// hear of each other's load.
    pub(super) fn receive(&mut self, from: SocketAddr, skipped: Option<usize>, now: u64) {
        if let Some(skipped) = skipped
            && skipped < self.skipped
        {
            self.skipped = skipped;
            self.selected = None;
        }
        if self.selected.is_none() || self.is_silent(now) {
            self.selected = Some(from);
        }
        if self.selected == Some(from) {
            self.received_ms = now;
        }
    }

    /// Updates the current collectors: deselects one that is no longer among them, and fails over
    /// if none responds.
    pub(super) fn update(&mut self, collectors: &[SocketAddr], now: u64) {
        let is_gone = self
            .selected
            .is_some_and(|selected| !collectors.contains(&selected));
        if is_gone {
            self.selected = None;
        }
        let silent_ms = now.saturating_sub(self.received_ms.max(self.failover_ms));
        if !collectors.is_empty() && silent_ms >= FAILOVER_MS {
            self.failover_ms = now;
            self.skipped += COLLECTORS_PER_ZONE;
        }
    }

    /// Returns whether the fleet sum is requested from a collector.
    pub(super) fn is_requested(&self, collector: SocketAddr, now: u64) -> bool {
        let is_selected = self.selected.is_none_or(|selected| selected == collector);
        is_selected || self.skipped > 0 || self.is_silent(now)
    }

    /// Returns the number of unresponsive gateways of the zone to skip.
    pub(super) const fn skipped(&self) -> usize {
        self.skipped
    }

    const fn is_silent(&self, now: u64) -> bool {
        now.saturating_sub(self.received_ms) >= SILENCE_MS
    }
}
