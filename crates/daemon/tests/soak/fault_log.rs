//! Times of the injected faults.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Time after a fault in which its effects may still be visible. Within it, dead connections
/// are closed and gateways have received the current configuration.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_millis(4_500);

/// Time without faults after which the platform counts a gateway as in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Part of the system that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    Gateway(usize),
    /// Connection of a gateway to the store.
    StoreConnection(usize),
    /// Connections to a server.
    ServerConnection(usize),
    Store,
    /// Connections to a server that are closed in order, as the server itself may do.
    ServerClose(usize),
    /// Connections to any server.
    AnyServerConnection,
    /// The process of the stand-ins and callers, which beside load gets too few processors.
    StandIns,
}

#[derive(Clone, Copy, Debug)]
struct Interval {
    scope: Scope,
    begin: Instant,
    /// `None` while the fault lasts.
    end: Option<Instant>,
}

/// Times of the injected faults.
#[derive(Debug, Default)]
pub(crate) struct FaultLog {
    intervals: Mutex<Vec<Interval>>,
}

impl FaultLog {
    /// Records that a fault begins; returns its index for [`FaultLog::end`].
    pub(crate) fn begin(&self, scope: Scope) -> usize {
        let mut intervals = self.intervals.lock();
        intervals.push(Interval {
            scope,
            begin: Instant::now(),
            end: None,
        });
        intervals.len() - 1
    }

    /// Records a fault that is over.
    pub(crate) fn record(&self, scope: Scope, begin: Instant, end: Instant) {
        let end = Some(end);
        self.intervals.lock().push(Interval { scope, begin, end });
    }

    /// Total duration of the faults of a scope that are over.
    pub(crate) fn total(&self, scope: Scope) -> Duration {
        let intervals = self.intervals.lock();
        let of_scope = intervals.iter().filter(|interval| interval.scope == scope);
        let lengths = of_scope.filter_map(|interval| Some(interval.end? - interval.begin));
        lengths.sum()
    }

    pub(crate) fn end(&self, index: usize) {
        self.intervals.lock()[index].end = Some(Instant::now());
    }

    /// Whether no fault affects a scope during a period or within the recovery time before it.
    pub(crate) fn is_undisturbed(&self, scope: Scope, from: Instant, to: Instant) -> bool {
        self.is_free(scope, (from, to), RECOVERY_TIME)
    }

    /// Whether no fault affects a scope during a period.
    pub(crate) fn is_fault_free(&self, scope: Scope, from: Instant, to: Instant) -> bool {
        self.is_free(scope, (from, to), Duration::ZERO)
    }

    /// Whether a gateway is in touch during a period, as the platform's rules define it.
    pub(crate) fn is_in_touch(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        self.reaches_store(gateway, (from, to), CONTACT_TIME)
    }

    /// Whether no fault affects a scope during a period or within a time before it.
    fn is_free(&self, scope: Scope, (from, to): (Instant, Instant), before: Duration) -> bool {
        let intervals = self.intervals.lock();
        !intervals.iter().any(|interval| {
            let is_over = interval.end.is_some_and(|end| end + before < from);
            interval.scope == scope && interval.begin <= to && !is_over
        })
    }

    /// Whether a gateway is running and has the current configuration throughout a period.
    pub(crate) fn has_current_config(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        self.reaches_store(gateway, (from, to), RECOVERY_TIME)
    }

    /// Whether a gateway runs and reaches the store during a period and within a time before it.
    fn reaches_store(&self, gateway: usize, period: (Instant, Instant), before: Duration) -> bool {
        let scopes = [
            Scope::Gateway(gateway),
            Scope::StoreConnection(gateway),
            Scope::Store,
        ];
        scopes
            .iter()
            .all(|scope| self.is_free(*scope, period, before))
    }
}
