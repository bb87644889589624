//! Maintenance of the server's home record.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberryyoke_decide::key::PriorRecord;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Incarnation, Millis};
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::{Error, Expect, Kv, Pair, Revision, Swap};

use super::record::{Keys, Record};
use super::shared::Shared;

/// Minimum and maximum backoff between attempts, in milliseconds.
const BACKOFF_MS: (Millis, Millis) = (100, 5_000);

/// Timeout of the last write at a planned stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Takes over, updates and closes the home record.
pub(crate) struct RecordWriter {
    shared: Arc<Shared>,
    kv: Arc<dyn Kv>,
    key: String,
    backoff: Backoff,
    /// Record and routers of the prior instance, once read.
    prior: Option<(PriorRecord, Vec<Incarnation>)>,
    /// Revision of the record while this instance owns it.
    revision: Option<Revision>,
}

impl RecordWriter {
    pub(crate) fn new(shared: Arc<Shared>, kv: Arc<dyn Kv>) -> Self {
        let settings = &shared.settings;
        Self {
            key: format!("{}home/{}", settings.prefix, settings.name),
            shared,
            kv,
            backoff: Backoff::new(BACKOFF_MS.0, BACKOFF_MS.1),
            prior: None,
            revision: None,
        }
    }

    /// Takes over the record and registers routers in it until the sidecar stops,
    /// then closes it.
    pub(crate) async fn run(mut self) {
        let stop = self.shared.idle.clone();
        tokio::select! {
            () = self.maintain() => return,
            () = stop.cancelled() => {}
        }
        // After a timeout, the next instance starts in recovery.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.close()).await;
    }

    async fn maintain(&mut self) {
        while self.revision.is_none() {
            if let Err(error) = self.take_over().await {
                self.back_off(&error).await;
            }
        }
        self.backoff.reset();
        loop {
            self.shared.registration.added.notified().await;
            while !self.shared.registration.pending.lock().is_empty() {
                match self.register_pending().await {
                    Ok(true) => {}
                    Ok(false) => return self.abandon(),
                    Err(error) => self.back_off(&error).await,
                }
            }
        }
    }

    async fn back_off(&mut self, error: &Error) {
        log!(self.shared.logger, Event::KvDown, "error" => error.to_string());
        let at = self.backoff.next(Instant::now(), &mut rand::rng());
        tokio::time::sleep_until(at.into()).await;
    }

    /// Reads the record of the prior instance and replaces it by this instance's.
    async fn take_over(&mut self) -> Result<(), Error> {
        let found = self.kv.get(&self.key).await?;
        let (prior, routers) = self.read_prior(found.as_ref());
        let expected = expect(found.as_ref());
        if !self.write(expected, &self.record(routers.clone())).await? {
            return Ok(());
        }
        let missing = self.shared.decide(|admission, now| {
            admission.restore_record(&prior, &routers, now);
            let is_recovering = admission.is_recovering(now);
            is_recovering.then(|| admission.missing_reports())
        });
        if let Some(missing) = missing {
            log!(self.shared.logger, Event::KeysIndeterminate, "routers" => missing);
        }
        self.shared.registration.notify_written();
        Ok(())
    }

    /// The record of the prior instance. A record that is already this instance's
    /// comes from a write whose response was lost.
    fn read_prior(&mut self, found: Option<&Pair>) -> (PriorRecord, Vec<Incarnation>) {
        let record = found.map(|pair| Record::parse(&pair.value));
        let prior = match record {
            None => (PriorRecord::Absent, Vec::new()),
            Some(None) => (PriorRecord::Unreadable, Vec::new()),
            Some(Some(record)) if self.is_own(&record) => {
                let prior = self.prior.clone();
                prior.unwrap_or((PriorRecord::Unreadable, record.routers))
            }
            Some(Some(record)) => (record.prior(), record.routers),
        };
        self.prior.insert(prior).clone()
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

    /// Writes the record by compare-and-swap. On a conflict, updates the revision if
    /// this instance still owns the record, or clears it. Returns whether the store
    /// holds `record`, also from an earlier write whose response was lost.
    async fn write(&mut self, expected: Expect, record: &Record) -> Result<bool, Error> {
        let value = record.to_json();
        let swap = self.kv.swap(&self.key, expected, Some(value.clone()), None);
        match swap.await? {
            Swap::Done(revision) => {
                self.revision = Some(revision);
                Ok(true)
            }
            Swap::Conflict(found) => {
                let found = found.as_ref();
                let stored = found.and_then(|pair| Record::parse(&pair.value));
                let own = found.filter(|_| stored.is_some_and(|stored| self.is_own(&stored)));
                self.revision = own.map(|pair| pair.revision);
                Ok(own.is_some_and(|pair| pair.value == value))
            }
        }
    }

    /// Registers the pending routers. Returns whether this instance still owns the
    /// record.
    async fn register_pending(&mut self) -> Result<bool, Error> {
        let Some(revision) = self.revision else {
            return Ok(false);
        };
        let pending = self.shared.registration.pending.lock().clone();
        let (mut routers, can_register) = self.shared.decide(|admission, now| {
            (
                admission.refresh_routers(now),
                admission.can_register_router(),
            )
        });
        if can_register {
            routers.extend(&pending);
        }
        let record = self.record(routers.clone());
        if !self.write(Expect::Revision(revision), &record).await? {
            return Ok(self.revision.is_some());
        }
        self.shared
            .decide(|admission, now| admission.register_routers(&routers, now));
        self.backoff.reset();
        let mut still_pending = self.shared.registration.pending.lock();
        still_pending.retain(|origin| !pending.contains(origin));
        drop(still_pending);
        self.shared.registration.notify_written();
        Ok(true)
    }

    fn abandon(&self) {
        log!(self.shared.logger, Event::Superseded, "key" => &self.key);
        self.shared
            .decide(|admission, _| admission.abandon_record());
    }

    /// Writes the retained keys for the next instance.
    async fn close(&mut self) {
        let (routers, states) = self.shared.decide(|admission, now| {
            let routers = admission.refresh_routers(now);
            (routers, admission.close_record(now))
        });
        let Some(states) = states else {
            return;
        };
        let mut record = self.record(routers);
        record.closed = Some(Keys::encode(&states));
        while let Some(revision) = self.revision {
            match self.write(Expect::Revision(revision), &record).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => self.back_off(&error).await,
            }
        }
    }
}

fn expect(found: Option<&Pair>) -> Expect {
    found.map_or(Expect::Absent, |pair| Expect::Revision(pair.revision))
}
