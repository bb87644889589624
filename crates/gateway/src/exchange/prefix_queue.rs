//! Queue of cached prompt prefixes to report to other gateways.

use std::collections::HashMap;

use mulberryyoke_model::ServerId;
use mulberryyoke_wire::aggregate::Prefill;

/// Interval at which a prefix that is still in use is reported again, in milliseconds. Makes up
/// for lost packets.
const RESEND_MS: u64 = 2_000;

/// Maximum number of queued prefixes of this gateway; further ones are dropped.
const MAX_OWN: usize = 64;

/// Maximum number of queued prefixes of the zone, and of the fleet; further ones are dropped.
const MAX_FORWARDED: usize = 512;

/// Prefixes to report: those of this gateway to the collectors of its zone, those of the zone to
/// other zones, and all of them to the gateways of the zone.
#[derive(Debug, Default)]
pub(super) struct PrefixQueue {
    /// When each prefix was last queued, by server and key.
    queued_at: HashMap<(ServerId, u64), u64>,
    own: Vec<Prefill>,
    zone: Vec<Prefill>,
    fleet: Vec<Prefill>,
}

impl PrefixQueue {
    /// Records that this gateway sent a server a prompt whose last shared prefix is `key`.
    pub(super) fn record(
        &mut self,
        key: u64,
        prefill: impl FnOnce() -> Prefill,
        is_new: bool,
        server: ServerId,
        now: u64,
    ) {
        let queued_at = self.queued_at.get(&(server, key));
        let is_recent = queued_at.is_some_and(|at| now.saturating_sub(*at) < RESEND_MS);
        if self.own.len() >= MAX_OWN || (is_recent && !is_new) {
            return;
        }
        self.queued_at.insert((server, key), now);
        let prefill = prefill();
        push(&mut self.zone, &prefill);
        push(&mut self.fleet, &prefill);
        self.own.push(prefill);
    }

    /// Forwards another gateway's prefixes, to other zones only if it is of this zone.
    pub(super) fn forward(&mut self, prefills: &[Prefill], is_same_zone: bool, now: u64) {
        for prefill in prefills {
            let Some(last) = prefill.shared.last() else {
                continue;
            };
            let queued_at = self.queued_at.insert((prefill.server, last.key), now);
            if queued_at.is_some_and(|at| now.saturating_sub(at) < RESEND_MS) {
                continue;
            }
            if is_same_zone {
                push(&mut self.zone, prefill);
            }
            push(&mut self.fleet, prefill);
        }
    }

    /// Removes entries that are due to be reported again.
    pub(super) fn expire(&mut self, now: u64) {
        self.queued_at
            .retain(|_, at| now.saturating_sub(*at) < RESEND_MS);
    }

    pub(super) fn take_own(&mut self) -> Vec<Prefill> {
        std::mem::take(&mut self.own)
    }

    pub(super) fn take_zone(&mut self) -> Vec<Prefill> {
        std::mem::take(&mut self.zone)
    }

    pub(super) fn take_fleet(&mut self) -> Vec<Prefill> {
        std::mem::take(&mut self.fleet)
    }
}

fn push(prefills: &mut Vec<Prefill>, prefill: &Prefill) {
    if prefills.len() < MAX_FORWARDED {
        prefills.push(prefill.clone());
    }
}
