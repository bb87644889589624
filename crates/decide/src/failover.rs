//! Order in which sources of the same data are asked.
//!
//! While the preferred source answers, it alone is asked. From a failure until the next success,
//! every source gets its turn: of those whose backoff is over, the one that was asked longest ago. Between the end of
//! a source's backoff and its turn, each other source is asked at most once, whatever they answer
//! and however long calls and pauses take.

use mulberryyoke_model::Millis;

/// Selects among sources of type `S`.
#[derive(Clone, Debug)]
pub struct Failover<S> {
    records: Vec<Record<S>>,
    /// Number of selections so far.
    selections: u64,
    /// Whether the last call failed.
    is_failing: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record<S> {
    source: S,
    /// Number of the selection in which it was last asked; 0 if it was not since the last success.
    asked: u64,
    /// When its backoff is over.
    retry_at: Millis,
}

impl<S> Default for Failover<S> {
    fn default() -> Self {
        Self {
            records: Vec::new(),
            selections: 0,
            is_failing: false,
        }
    }
}

impl<S: Copy + Eq> Failover<S> {
    /// Selects the source of the next call among these, the preferred one first. If all are backing
    /// off, the one whose backoff ends first. `None` if there are no sources.
    pub fn select(&mut self, sources: &[S], now: Millis) -> Option<S> {
        self.update(sources);
        let is_due = |record: &&mut Record<S>| record.retry_at <= now;
        let due = self.records.iter_mut().filter(is_due);
        let selected = if self.is_failing {
            due.min_by_key(|record| record.asked)
        } else {
            due.into_iter().next()
        };
        let selected = match selected {
            Some(selected) => selected,
            None => self
                .records
                .iter_mut()
                .min_by_key(|record| record.retry_at)?,
        };
        self.selections += 1;
        selected.asked = self.selections;
        Some(selected.source)
    }

    /// Takes over the order of these sources and forgets others.
    fn update(&mut self, sources: &[S]) {
        let records = sources.iter().map(|source| {
            let known = self.records.iter().find(|known| known.source == *source);
            known.copied().unwrap_or(Record {
                source: *source,
                asked: 0,
                retry_at: 0,
            })
        });
        self.records = records.collect();
    }

    /// Records that a call to a source failed, which is to be asked again at `retry_at`.
    pub fn record_failure(&mut self, source: S, retry_at: Millis) {
        self.is_failing = true;
        let mut records = self.records.iter_mut();
        if let Some(record) = records.find(|record| record.source == source) {
            record.retry_at = retry_at;
        }
    }

    /// Records that a call succeeded, so that the next failure begins with the preferred sources.
    pub fn record_success(&mut self) {
        self.is_failing = false;
        for record in &mut self.records {
            record.asked = 0;
        }
    }

    /// Whether any source is backing off.
    #[must_use]
    pub fn is_degraded(&self, now: Millis) -> bool {
        self.records.iter().any(|record| record.retry_at > now)
    }
}
