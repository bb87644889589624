//! Shared prompt parts that servers were given to read, on their way to other gateways.

use std::collections::HashMap;

use mulberryyoke_model::ServerId;
use mulberryyoke_wire::aggregate::Prefill;

/// Time after which a shared part that is still in use is told again, in
/// milliseconds: a lost packet does no lasting harm.
const TELL_AGAIN_MS: u64 = 2_000;

/// Reads that wait to be told; more are left out.
const MOST_OWN: usize = 64;

/// As [`MOST_OWN`], of all gateways of a zone, and of the fleet.
const MOST_PASSED: usize = 512;

/// Reads that wait to be told: those of this gateway to the collectors of its zone, those
/// of the zone to other zones, and all to the gateways of the zone.
#[derive(Debug, Default)]
pub(super) struct Reads {
    told: HashMap<(ServerId, u64), u64>,
    own: Vec<Prefill>,
    zone: Vec<Prefill>,
    fleet: Vec<Prefill>,
}

impl Reads {
    /// Notes that this gateway had a server read a prompt whose last shared part is `key`.
    pub(super) fn note(
        &mut self,
        key: u64,
        read: impl FnOnce() -> Prefill,
        is_new: bool,
        server: ServerId,
        now: u64,
    ) {
        let told = self.told.get(&(server, key));
        let is_told = told.is_some_and(|at| now.saturating_sub(*at) < TELL_AGAIN_MS);
        if self.own.len() >= MOST_OWN || (is_told && !is_new) {
            return;
        }
        self.told.insert((server, key), now);
        let read = read();
        push(&mut self.zone, &read);
        push(&mut self.fleet, &read);
        self.own.push(read);
    }

    /// Passes on what another gateway told, to other zones if it is of this one.
    pub(super) fn pass(&mut self, reads: &[Prefill], is_of_zone: bool, now: u64) {
        for read in reads {
            let Some(last) = read.shared.last() else {
                continue;
            };
            let told = self.told.insert((read.server, last.key), now);
            if told.is_some_and(|at| now.saturating_sub(at) < TELL_AGAIN_MS) {
                continue;
            }
            if is_of_zone {
                push(&mut self.zone, read);
            }
            push(&mut self.fleet, read);
        }
    }

    /// Forgets what was told so long ago that it would be told again.
    pub(super) fn forget(&mut self, now: u64) {
        self.told
            .retain(|_, at| now.saturating_sub(*at) < TELL_AGAIN_MS);
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

fn push(reads: &mut Vec<Prefill>, read: &Prefill) {
    if reads.len() < MOST_PASSED {
        reads.push(read.clone());
    }
}
