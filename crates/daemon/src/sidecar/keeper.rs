//! Keeping the server's home record.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_decide::key::PriorRecord;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Incarnation, Millis};
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::{Error, Expect, Kv, Pair, Revision, Swap};

use super::record::{Keys, Record};
use super::shared::Shared;

/// Shortest and longest pause between two tries, in milliseconds.
const PAUSE: (Millis, Millis) = (100, 5_000);

/// Longest time for the last write at a planned stop.
const CLOSING: Duration = Duration::from_secs(3);

/// Keeps the home record.
pub(crate) struct Keeper {
    shared: Arc<Shared>,
    kv: Arc<dyn Kv>,
    key: String,
    backoff: Backoff,
    /// What the earlier life left, once read.
    earlier: Option<(PriorRecord, Vec<Incarnation>)>,
    /// Revision of the record once it is this life's.
    revision: Option<Revision>,
}

impl Keeper {
    pub(crate) fn open(shared: Arc<Shared>, kv: Arc<dyn Kv>) -> Self {
        let settings = &shared.settings;
        Self {
            key: format!("{}home/{}", settings.prefix, settings.name),
            shared,
            kv,
            backoff: Backoff::new(PAUSE.0, PAUSE.1),
            earlier: None,
            revision: None,
        }
    }

    /// Takes the record over, then names routers in it as they come, until the
    /// sidecar stops; then closes it.
    pub(crate) async fn run(mut self) {
        let stop = self.shared.idle.clone();
        tokio::select! {
            () = self.keep() => return,
            () = stop.cancelled() => {}
        }
        // A record that is not closed in time leaves the next life in doubt.
        let _ = tokio::time::timeout(CLOSING, self.close()).await;
    }

    async fn keep(&mut self) {
        while self.revision.is_none() {
            if let Err(error) = self.take_over().await {
                self.pause(&error).await;
            }
        }
        self.backoff.reset();
        loop {
            self.shared.home.work.notified().await;
            while !self.shared.home.wanted.lock().is_empty() {
                match self.name().await {
                    Ok(true) => {}
                    Ok(false) => return self.supersede(),
                    Err(error) => self.pause(&error).await,
                }
            }
        }
    }

    async fn pause(&mut self, error: &Error) {
        log!(self.shared.logger, Event::KvDown, "error" => error.to_string());
        let at = self.backoff.next(Instant::now(), &mut rand::rng());
        tokio::time::sleep_until(at.into()).await;
    }

    /// Reads what the earlier life left and makes the record this life's.
    async fn take_over(&mut self) -> Result<(), Error> {
        let found = self.kv.get(&self.key).await?;
        let (past, routers) = self.learn(found.as_ref());
        let expected = expect(found.as_ref());
        if !self.write(expected, &self.record(routers.clone())).await? {
            return Ok(());
        }
        let missing = self.shared.decide(|admission, now| {
            admission.restore_record(&past, &routers, now);
            let doubtful = admission.is_recovering(now);
            doubtful.then(|| admission.missing_reports())
        });
        if let Some(missing) = missing {
            log!(self.shared.logger, Event::KeysIndeterminate, "routers" => missing);
        }
        self.shared.home.note_written();
        Ok(())
    }

    /// What the earlier life left. A record of this life is one whose write was
    /// not answered.
    fn learn(&mut self, found: Option<&Pair>) -> (PriorRecord, Vec<Incarnation>) {
        let record = found.map(|pair| Record::parse(&pair.value));
        let earlier = match record {
            None => (PriorRecord::Absent, Vec::new()),
            Some(None) => (PriorRecord::Unreadable, Vec::new()),
            Some(Some(record)) if self.is_own(&record) => {
                let earlier = self.earlier.clone();
                earlier.unwrap_or((PriorRecord::Unreadable, record.routers))
            }
            Some(Some(record)) => (record.past(), record.routers),
        };
        self.earlier.insert(earlier).clone()
    }

    fn is_own(&self, record: &Record) -> bool {
        record.incarnation == self.shared.setup.incarnation
    }

    fn record(&self, routers: Vec<Incarnation>) -> Record {
        let setup = self.shared.setup;
        Record {
            incarnation: setup.incarnation,
            started_at: setup.started_at,
            routers,
            closed: None,
        }
    }

    /// Writes the record if the key is as expected, or already holds it because
    /// the answer to the same write was lost. Otherwise remembers the revision if
    /// the record is still this life's. Returns whether it was written.
    async fn write(&mut self, expected: Expect, record: &Record) -> Result<bool, Error> {
        let value = record.text();
        let swap = self.kv.swap(&self.key, expected, Some(value.clone()), None);
        match swap.await? {
            Swap::Done(revision) => {
                self.revision = Some(revision);
                Ok(true)
            }
            Swap::Conflict(found) => {
                let found = found.as_ref();
                let held = found.and_then(|pair| Record::parse(&pair.value));
                let own = found.filter(|_| held.is_some_and(|held| self.is_own(&held)));
                self.revision = own.map(|pair| pair.revision);
                Ok(own.is_some_and(|pair| pair.value == value))
            }
        }
    }

    /// Names the routers that are wanted. Returns whether the record is still this
    /// life's.
    async fn name(&mut self) -> Result<bool, Error> {
        let Some(revision) = self.revision else {
            return Ok(false);
        };
        let wanted = self.shared.home.wanted.lock().clone();
        let (mut routers, has_room) = self.shared.decide(|admission, now| {
            (
                admission.refresh_routers(now),
                admission.can_register_router(),
            )
        });
        if has_room {
            routers.extend(&wanted);
        }
        let record = self.record(routers.clone());
        if !self.write(Expect::Revision(revision), &record).await? {
            return Ok(self.revision.is_some());
        }
        self.shared
            .decide(|admission, now| admission.register_routers(&routers, now));
        self.backoff.reset();
        let mut still_wanted = self.shared.home.wanted.lock();
        still_wanted.retain(|origin| !wanted.contains(origin));
        drop(still_wanted);
        self.shared.home.note_written();
        Ok(true)
    }

    fn supersede(&self) {
        log!(self.shared.logger, Event::Superseded, "key" => &self.key);
        self.shared
            .decide(|admission, _| admission.abandon_record());
    }

    /// Writes what the next life has to know.
    async fn close(&mut self) {
        let (routers, marks) = self.shared.decide(|admission, now| {
            let routers = admission.refresh_routers(now);
            (routers, admission.close_record(now))
        });
        let Some(marks) = marks else {
            return;
        };
        let mut record = self.record(routers);
        record.closed = Some(Keys::pack(&marks));
        while let Some(revision) = self.revision {
            match self.write(Expect::Revision(revision), &record).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => self.pause(&error).await,
            }
        }
    }
}

fn expect(found: Option<&Pair>) -> Expect {
    found.map_or(Expect::Absent, |pair| Expect::Revision(pair.revision))
}
