//! A key-value service with records of versions, and gateways that follow it.

use std::collections::BTreeSet;

use mulberryyoke_decide::stream::{
    Conclusion, Listed, Record, Recorder, Records, Situation, Write,
};
use mulberryyoke_model::{PoolId, VersionId};

pub(crate) const POOL: PoolId = PoolId(1);

/// The service's contents: records, and versions of registered servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Service {
    pub(crate) era: u64,
    pub(crate) revision: u64,
    pub(crate) listed: Listed,
    pub(crate) registered: BTreeSet<VersionId>,
}

impl Service {
    pub(crate) fn write(&mut self, write: Write) {
        self.revision += 1;
        let revision = self.revision;
        let record = |is_retiring| Record {
            revision,
            is_retiring,
        };
        let records = &mut self.listed.records;
        let is_at = |version, expected| {
            records.get(&version).map_or(0, |record| record.revision) == expected
        };
        match write {
            Write::Record(version, expected) if is_at(version, expected) => {
                records.insert(version, record(false));
            }
            Write::Retire(version, expected) if is_at(version, expected) => {
                records.insert(version, record(true));
            }
            Write::Remove(version, expected) if is_at(version, expected) => {
                records.remove(&version);
            }
            Write::Mark(era) => self.listed.marked = Some(era),
            _ => {}
        }
    }

    /// Goes back to a backup.
    pub(crate) fn restore(&mut self, backup: &Self) {
        let (era, registered) = (self.era + 1, self.registered.clone());
        *self = Self {
            era,
            registered,
            ..backup.clone()
        };
    }
}

/// A gateway and its copy of the contents.
#[derive(Debug, Default)]
pub(crate) struct Gateway {
    pub(crate) records: Records,
    recorder: Recorder,
    registered: Vec<VersionId>,
    /// Pools that are served by recorded versions.
    pub(crate) served: Vec<PoolId>,
    /// When the contents were last copied.
    copied_at: u64,
}

impl Gateway {
    /// Copies the contents.
    pub(crate) fn follow(&mut self, service: &Service, now: u64) {
        let is_recent = now.saturating_sub(self.copied_at) < 10_000;
        self.records
            .load(service.era, service.listed.clone(), is_recent);
        self.registered = service.registered.iter().copied().collect();
        self.copied_at = now;
    }

    pub(crate) fn plan(&mut self, is_watcher: bool, gateways: usize, now: u64) -> Vec<Write> {
        let registered = self.registered.iter().map(|version| (POOL, *version));
        let registered: Vec<_> = registered.collect();
        let situation = Situation {
            registered: &registered,
            served: &self.served,
            is_watcher,
            gateways,
            is_fresh: now.saturating_sub(self.copied_at) <= 2_000,
            now,
        };
        self.recorder
            .plan(&self.records, &situation, |below| below / 2)
    }

    /// Versions on which a stream may begin now.
    pub(crate) fn offers(&self) -> Vec<VersionId> {
        let versions = self.registered.iter().copied();
        let usable = versions.filter(|version| self.records.is_usable((POOL, *version)));
        usable.collect()
    }

    pub(crate) fn conclude(&self) -> Conclusion {
        self.records.conclude(POOL)
    }
}
