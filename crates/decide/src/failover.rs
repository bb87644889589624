//! Which sources of the same data are asked, and when.
//!
//! The data comes from a service, or from peers that have it from the service. One source is
//! followed: it is asked with calls that wait for changes. When it fails, answers without current
//! data, or does not answer in time, a search begins: the others are asked beside it, the preferred
//! ones first, and the first with current data is followed. While a source is followed, those
//! preferred to it are probed beside it now and then, and followed again once they have current
//! data: a source that works is never left for one that may not.
//!
//! No call waits for the end of another one, so that the bounds are times, whatever other sources
//! do: [`MAX_SEARCH_MS`] from the failure of a source to calls of all others, and
//! [`MAX_PROBE_INTERVAL_MS`] between two calls of a service that was lost. Listings, which may be
//! large, are asked for one at a time.

mod record;
mod source;

use mulberryyoke_model::Millis;
use rand::{Rng, RngExt};

use self::record::Record;
pub use self::source::Source;

/// Interval at which the sources are asked one after the other in a search, in milliseconds. Most
/// answer within it, so that the next one is not asked.
const STEP_INTERVAL_MS: Millis = 75;

/// Number of sources that are asked one after the other. The rest are asked with the last of these.
const SEARCH_STEPS: u64 = 3;

/// Longest time from the begin of a search until each source has been asked, in milliseconds.
pub const MAX_SEARCH_MS: Millis = STEP_INTERVAL_MS * (SEARCH_STEPS - 1);

/// Bounds of the interval between two calls of the service while it is lost, in milliseconds. It is
/// drawn, so that gateways do not call at the same time.
const PROBE_INTERVAL_MS: (Millis, Millis) = (500, MAX_PROBE_INTERVAL_MS);

/// Longest interval between two calls of the service while it is lost, in milliseconds.
pub const MAX_PROBE_INTERVAL_MS: Millis = 750;

/// Interval between two calls of a peer while no source has current data, in milliseconds. One that
/// was asked just before the last answer is due again when the search for the next one ends.
const PEER_PROBE_INTERVAL_MS: Millis = 750;

/// Interval between two calls of a preferred peer while another source is followed, in milliseconds.
const PEER_RETURN_INTERVAL_MS: Millis = 3_000;

/// Minimum interval between two calls of the followed source, in milliseconds: calls are billed,
/// and one returns a whole burst of changes.
const MIN_FOLLOW_INTERVAL_MS: Millis = 200;

/// Bounds of the pause between an answer of the service and the next call that follows it, if others
/// are preferred, in milliseconds. It is drawn: one change answers all gateways, which would all call
/// again at once when none of the preferred ones can be followed.
const SERVICE_PAUSE_MS: (Millis, Millis) = (0, 400);

/// Calls of one source at a time: one that waits for changes and hangs, and one beside it.
const MAX_CALLS: u32 = 2;

/// Interval between the calls of a search for sources of a listing, in milliseconds. Listings may
/// be large, and several at a time would slow each other down.
const LIST_STEP_INTERVAL_MS: Millis = 200;

/// Time for which a source is not asked that could not complete its answer in time, in milliseconds:
/// it works, and more calls would slow it down.
const SLOW_BACKOFF_MS: (Millis, Millis) = (1_500, 3_000);

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Waits for changes.
    Follow,
    /// Returns at once.
    Probe,
}

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call<P> {
    /// The source to call.
    pub source: Source<P>,
    /// Whether the call waits for changes.
    pub purpose: Purpose,
    /// Number of the call.
    number: u64,
}

/// Selects among the service and peers of type `P`.
#[derive(Clone, Debug)]
pub struct Failover<P> {
    /// The sources, the preferred ones first.
    records: Vec<Record<P>>,
    /// The source that is followed.
    followed: Option<Source<P>>,
    /// By when the call that waits for changes is to be answered, and its number; `None` if there is
    /// none.
    awaited: Option<(Millis, u64)>,
    /// Earliest time of the next call that waits for changes.
    follow_at: Millis,
    /// Calls of the search so far, and the earliest time of the next one.
    steps: u64,
    step_at: Millis,
    /// Whether calls are for listings.
    is_listing: bool,
    /// Number of calls so far.
    calls: u64,
}

impl<P> Default for Failover<P> {
    fn default() -> Self {
        Self {
            records: Vec::new(),
            followed: None,
            awaited: None,
            follow_at: 0,
            steps: 0,
            step_at: 0,
            is_listing: false,
            calls: 0,
        }
    }
}

impl<P: Copy + Eq> Failover<P> {
    /// Takes over the order of these sources, the preferred one first, and forgets others.
    pub fn update(&mut self, sources: &[Source<P>]) {
        let known = std::mem::take(&mut self.records);
        let records = sources.iter().map(|source| {
            let known = known.iter().find(|known| known.source == *source);
            known.copied().unwrap_or(Record::new(*source))
        });
        self.records = records.collect();
        if self
            .followed
            .is_some_and(|source| self.rank(source).is_none())
        {
            self.lose();
        }
    }

    /// Selects a call to make now. To be repeated until it is `None`.
    pub fn select(&mut self, now: Millis, rng: &mut impl Rng) -> Option<Call<P>> {
        let (index, purpose) = self.next(now)?;
        self.calls += 1;
        let number = self.calls;
        match purpose {
            // Until the caller tells when the answer is due.
            Purpose::Follow => {
                self.awaited = Some((Millis::MAX, number));
                self.follow_at = now + MIN_FOLLOW_INTERVAL_MS;
            }
            Purpose::Probe if self.is_searching(now) => {
                self.steps += 1;
                self.step_at = now + self.step_interval_ms();
            }
            Purpose::Probe => {}
        }
        let record = &mut self.records[index];
        let service_at = now + rng.random_range(PROBE_INTERVAL_MS.0..=PROBE_INTERVAL_MS.1);
        (record.probe_at, record.return_at) = match record.source {
            Source::Service => (service_at, service_at),
            Source::Peer(_) => (now + PEER_PROBE_INTERVAL_MS, now + PEER_RETURN_INTERVAL_MS),
        };
        record.calls += 1;
        record.asked = number;
        let source = record.source;
        Some(Call {
            source,
            purpose,
            number,
        })
    }

    /// Tells whether the next calls are for listings.
    pub const fn set_listing(&mut self, is_listing: bool) {
        self.is_listing = is_listing;
    }

    const fn step_interval_ms(&self) -> Millis {
        if self.is_listing {
            LIST_STEP_INTERVAL_MS
        } else {
            STEP_INTERVAL_MS
        }
    }

    /// Whether the sources are asked one after the other.
    const fn is_paced(&self) -> bool {
        self.is_listing || self.steps < SEARCH_STEPS
    }

    /// Tells by when the call that waits for changes is to be answered.
    pub const fn expect_by(&mut self, overdue_at: Millis) {
        if let Some((awaited_until, _)) = &mut self.awaited {
            *awaited_until = overdue_at;
        }
    }

    /// Time at which [`Failover::select`] has another call, unless a call ends before.
    #[must_use]
    pub fn next_at(&self, now: Millis) -> Option<Millis> {
        let follow_at = match (self.followed, self.awaited) {
            (Some(_), None) => Some(self.follow_at),
            (Some(_), Some((overdue_at, _))) if overdue_at > now => Some(overdue_at),
            _ => None,
        };
        let step_at = if self.is_paced() { self.step_at } else { 0 };
        let probe_at = if self.is_searching(now) {
            let due = self.free().map(|record| record.probe_at);
            due.min().map(|at| at.max(step_at))
        } else {
            self.preferred().map(|record| record.return_at).min()
        };
        follow_at.into_iter().chain(probe_at).min()
    }

    /// Records an answer, and whether its data was current. Returns whether its source is now
    /// followed and was not before.
    pub fn record_answer(
        &mut self,
        call: Call<P>,
        now: Millis,
        is_current: bool,
        rng: &mut impl Rng,
    ) -> bool {
        if !is_current {
            self.record_failure(call);
            return false;
        }
        let is_searching = self.is_searching(now);
        let followed = self.followed.and_then(|source| self.rank(source));
        let Some(rank) = self.end(call) else {
            return false;
        };
        let record = &mut self.records[rank];
        record.succeeded = record.succeeded.max(call.number);
        for record in &mut self.records {
            record.asked = 0;
        }
        (self.steps, self.step_at) = (0, 0);
        let pause_ms = match call.source {
            Source::Service if rank > 0 => {
                rng.random_range(SERVICE_PAUSE_MS.0..=SERVICE_PAUSE_MS.1)
            }
            _ => 0,
        };
        if self.followed == Some(call.source) {
            // A call that was overdue may end after a later one was made.
            let is_awaited = self
                .awaited
                .is_some_and(|(_, number)| number == call.number);
            if is_awaited {
                self.follow_at = self.follow_at.max(now) + pause_ms;
            }
            if is_awaited || is_searching {
                self.awaited = None;
            }
            return false;
        }
        if is_searching || followed.is_none_or(|followed| rank < followed) {
            self.followed = Some(call.source);
            self.awaited = None;
            self.follow_at = now + pause_ms;
            return true;
        }
        false
    }

    /// Records that a call failed, or that its answer had no current data.
    pub fn record_failure(&mut self, call: Call<P>) {
        let Some(rank) = self.end(call) else {
            return;
        };
        // A later call of the same source may have succeeded meanwhile.
        let is_overtaken = call.number < self.records[rank].succeeded;
        if self.followed == Some(call.source) && !is_overtaken {
            self.lose();
        }
    }

    /// Records that an answer was not complete in time.
    pub fn record_slow(&mut self, call: Call<P>, now: Millis, rng: &mut impl Rng) {
        self.record_failure(call);
        let retry_at = now + rng.random_range(SLOW_BACKOFF_MS.0..=SLOW_BACKOFF_MS.1);
        if let Some(rank) = self.rank(call.source) {
            let record = &mut self.records[rank];
            record.probe_at = record.probe_at.max(retry_at);
            record.return_at = record.return_at.max(retry_at);
        }
    }

    /// The source that is followed.
    #[must_use]
    pub const fn followed(&self) -> Option<Source<P>> {
        self.followed
    }

    fn lose(&mut self) {
        self.followed = None;
        self.awaited = None;
    }

    /// Ends a call and returns the rank of its source.
    fn end(&mut self, call: Call<P>) -> Option<usize> {
        let rank = self.rank(call.source)?;
        let record = &mut self.records[rank];
        record.calls = record.calls.saturating_sub(1);
        Some(rank)
    }

    fn rank(&self, source: Source<P>) -> Option<usize> {
        let mut records = self.records.iter();
        records.position(|record| record.source == source)
    }

    /// Whether no source is followed, or the followed one does not answer in time.
    fn is_searching(&self, now: Millis) -> bool {
        let is_overdue = |(overdue_at, _)| overdue_at <= now;
        self.followed.is_none() || self.awaited.is_some_and(is_overdue)
    }

    /// Index and purpose of the next call.
    fn next(&self, now: Millis) -> Option<(usize, Purpose)> {
        if let Some(followed) = self.followed
            && self.awaited.is_none()
            && self.follow_at <= now
        {
            return Some((self.rank(followed)?, Purpose::Follow));
        }
        let next = if self.is_searching(now) {
            if self.is_paced() && self.step_at > now {
                return None;
            }
            let due = self.free().filter(|record| record.probe_at <= now);
            due.min_by_key(|record| record.asked)
        } else {
            self.preferred().find(|record| record.return_at <= now)
        };
        Some((self.rank(next?.source)?, Purpose::Probe))
    }

    /// Sources of which another call may be made.
    fn free(&self) -> impl Iterator<Item = &Record<P>> {
        self.records
            .iter()
            .filter(|record| record.calls < MAX_CALLS)
    }

    /// Sources that are preferred to the followed one.
    fn preferred(&self) -> impl Iterator<Item = &Record<P>> {
        let before = self.followed.and_then(|followed| self.rank(followed));
        let preferred = self.records.iter().take(before.unwrap_or(0));
        preferred.filter(|record| record.calls < MAX_CALLS)
    }
}
