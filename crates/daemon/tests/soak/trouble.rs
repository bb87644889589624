//! When something was wrong, and where.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Time after the end of a fault in which what it did may still show: a dead connection
/// is given up by then, and a node has its view again.
const AFTER: Duration = Duration::from_millis(4_500);

/// Where a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Gateway(usize),
    /// A gateway's way to the store.
    Store(usize),
    /// The ways to one server.
    Host(usize),
    /// The store itself.
    Stores,
    /// The ways to any server.
    Server,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    place: Place,
    begin: Instant,
    end: Option<Instant>,
}

/// When something was wrong, and where.
#[derive(Debug, Default)]
pub(crate) struct Troubles {
    spans: Mutex<Vec<Span>>,
}

impl Troubles {
    /// Notes that a fault begins, and returns what ends it.
    pub(crate) fn begin(&self, place: Place) -> usize {
        let mut spans = self.spans.lock();
        spans.push(Span {
            place,
            begin: Instant::now(),
            end: None,
        });
        spans.len() - 1
    }

    pub(crate) fn end(&self, span: usize) {
        self.spans.lock()[span].end = Some(Instant::now());
    }

    /// Whether nothing was wrong at a place in a time, nor shortly before.
    pub(crate) fn is_calm(&self, place: Place, from: Instant, to: Instant) -> bool {
        let spans = self.spans.lock();
        !spans.iter().any(|span| {
            let ended = span.end.is_some_and(|end| end + AFTER < from);
            span.place == place && span.begin <= to && !ended
        })
    }

    /// Whether nothing was wrong at a place in a time itself.
    pub(crate) fn is_clear(&self, place: Place, from: Instant, to: Instant) -> bool {
        let spans = self.spans.lock();
        !spans.iter().any(|span| {
            let ended = span.end.is_some_and(|end| end < from);
            span.place == place && span.begin <= to && !ended
        })
    }

    /// Whether a gateway runs and has known the newest configuration for a time.
    pub(crate) fn is_in_touch(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let places = [
            Place::Gateway(gateway),
            Place::Store(gateway),
            Place::Stores,
        ];
        places.iter().all(|place| self.is_calm(*place, from, to))
    }
}
