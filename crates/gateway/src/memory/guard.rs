//! What is given up as the memory of the process runs short.

use std::sync::atomic::{AtomicBool, Ordering};

use mulberryyoke_decide::pressure::{Gauge, Pressure};
use mulberryyoke_event::{Event, log};
use parking_lot::Mutex;

use crate::clock;
use crate::core::Core;

/// Follows the resident memory of the process. A process beyond its limit is killed, with the
/// requests of all its callers.
#[derive(Debug, Default)]
pub(crate) struct Guard {
    state: Mutex<State>,
    is_critical: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    gauge: Gauge,
    pressure: Pressure,
}

impl Guard {
    /// Whether new requests are refused.
    pub(crate) fn is_critical(&self) -> bool {
        self.is_critical.load(Ordering::Relaxed)
    }

    /// Records the resident memory, in bytes. The copy of the contents is dropped once memory is
    /// short: peers list at the key-value service instead.
    pub(crate) fn record(&self, core: &Core, resident: u64) {
        let Some(memory_mb) = core.settings.load().memory_mb else {
            return;
        };
        let limit = memory_mb.saturating_mul(1 << 20);
        let mut state = self.state.lock();
        let pressure = state.gauge.record(resident, limit, clock::now_ms());
        let previous = std::mem::replace(&mut state.pressure, pressure);
        drop(state);
        self.is_critical
            .store(pressure == Pressure::Critical, Ordering::Relaxed);
        if previous == pressure {
            return;
        }
        log!(core.logger, Event::MemoryPressure,
            "pressure" => pressure.label(), "resident" => resident, "limit" => limit);
        if previous == Pressure::Normal {
            core.mirror.drop_contents();
        }
    }
}
