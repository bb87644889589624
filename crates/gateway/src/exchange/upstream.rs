//! The collector that tells this gateway the fleet's sum.

use std::net::SocketAddr;

use mulberryyoke_decide::aggregate::COLLECTORS_PER_ZONE;

/// Time without the fleet's sum after which another collector is asked for it, in
/// milliseconds: the longest interval between two, and what is late.
const QUIET_MS: u64 = 350;

/// Time without it after which the next gateways of the zone are asked to collect, in
/// milliseconds. Another such time later those after them are asked.
const LOST_MS: u64 = 700;

/// The collector that tells this gateway the fleet's sum: one alone, until it is silent.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    chosen: Option<SocketAddr>,
    heard_ms: u64,
    /// When collectors were last passed over.
    passed_ms: u64,
    /// Gateways of the zone that are passed over when others are asked to collect; 0 while
    /// its collectors answer.
    passed: usize,
}

impl Upstream {
    /// Notes that the fleet's sum came from a gateway, which is one of the zone's collectors
    /// or was asked in place of these.
    pub(super) fn hear(&mut self, from: SocketAddr, is_collector: bool, now: u64) {
        if is_collector && self.passed > 0 {
            self.passed = 0;
            self.chosen = None;
        }
        if self.chosen.is_none() || self.is_quiet(now) {
            self.chosen = Some(from);
        }
        if self.chosen == Some(from) {
            self.heard_ms = now;
        }
    }

    /// Notes whom this gateway tells what it has: a collector that is none any more is no
    /// longer waited for, and if none answers others are asked.
    pub(super) fn choose(&mut self, collectors: &[SocketAddr], now: u64) {
        let is_gone = self
            .chosen
            .is_some_and(|chosen| !collectors.contains(&chosen));
        if is_gone {
            self.chosen = None;
        }
        let silent_ms = now.saturating_sub(self.heard_ms.max(self.passed_ms));
        if !collectors.is_empty() && silent_ms >= LOST_MS {
            self.passed_ms = now;
            self.passed += COLLECTORS_PER_ZONE;
        }
    }

    /// Whether a gateway is asked for the fleet's sum.
    pub(super) fn is_asked(&self, collector: SocketAddr, now: u64) -> bool {
        let is_chosen = self.chosen.is_none_or(|chosen| chosen == collector);
        is_chosen || self.passed > 0 || self.is_quiet(now)
    }

    /// Gateways of the zone that are passed over when others are asked to collect.
    pub(super) const fn passed(&self) -> usize {
        self.passed
    }

    const fn is_quiet(&self, now: u64) -> bool {
        now.saturating_sub(self.heard_ms) >= QUIET_MS
    }
}
