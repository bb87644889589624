//! Membership table.

use std::collections::BTreeMap;

use mulberryyoke_model::Millis;

use super::tree::{self, Position};
use super::{Limits, Neighbors, Router};

#[derive(Debug)]
struct Entry {
    router: Router,
    is_listed: bool,
    last_contact_at: Option<Millis>,
    /// Start of the current run of failed calls.
    failing_since: Option<Millis>,
    is_suspicion_reported: bool,
}

/// Known routers, except this one.
#[derive(Debug)]
pub struct Table {
    own: Router,
    limits: Limits,
    entries: BTreeMap<String, Entry>,
}

impl Table {
    /// Creates a table without other routers.
    #[must_use]
    pub fn new(own: Router, limits: Limits) -> Self {
        Self {
            own,
            limits,
            entries: BTreeMap::new(),
        }
    }

    /// Replaces the routers known from the VM list. A router that is no longer listed is
    /// kept while it is in contact.
    pub fn set_listed(&mut self, routers: Vec<Router>, now: Millis) {
        for entry in self.entries.values_mut() {
            entry.is_listed = false;
        }
        for router in routers {
            if router.name == self.own.name {
                continue;
            }
            let entry = self.entries.entry(router.name.clone());
            let entry = entry.or_insert_with(|| Entry {
                router: router.clone(),
                is_listed: true,
                last_contact_at: None,
                failing_since: None,
                is_suspicion_reported: false,
            });
            entry.router = router;
            entry.is_listed = true;
        }
        let limits = self.limits;
        self.entries
            .retain(|_, entry| entry.is_listed || entry.is_in_contact(now, &limits));
    }

    /// Records that a router made or answered a call.
    pub fn record_contact(&mut self, name: &str, now: Millis) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.last_contact_at = Some(now);
            entry.failing_since = None;
            entry.is_suspicion_reported = false;
        }
    }

    /// Records a failed call to a router. Returns whether the router became suspect.
    pub fn record_failure(&mut self, name: &str, now: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        entry.failing_since.get_or_insert(now);
        let is_suspect = entry.is_suspect(now, &self.limits);
        is_suspect && !std::mem::replace(&mut entry.is_suspicion_reported, true)
    }

    /// Whether a router is suspect or unknown.
    #[must_use]
    pub fn is_suspect(&self, name: &str, now: Millis) -> bool {
        let entry = self.entries.get(name);
        entry.is_none_or(|entry| entry.is_suspect(now, &self.limits))
    }

    /// Names of all routers that are not suspect, including this one.
    #[must_use]
    pub fn alive_names(&self, now: Millis) -> Vec<String> {
        let alive = self.alive(now);
        alive.iter().map(|router| router.name.clone()).collect()
    }

    /// Routers to exchange usage with.
    #[must_use]
    pub fn neighbors(&self, now: Millis) -> Neighbors {
        let position = tree::position(&self.own, &self.alive(now), &self.limits);
        let intended = tree::position(&self.own, &self.all(), &self.limits);
        let intended = match intended {
            Position::Root(peers) => peers,
            Position::Child(parent) => vec![parent],
        };
        let suspect = intended
            .iter()
            .filter(|router| self.is_suspect(&router.name, now));
        let probe = suspect.map(|router| router.name.clone()).collect();
        match position {
            Position::Root(peers) => Neighbors {
                peers: peers.iter().map(|router| router.name.clone()).collect(),
                parent: None,
                probe,
            },
            Position::Child(parent) => Neighbors {
                peers: Vec::new(),
                parent: Some(parent.name.clone()),
                probe,
            },
        }
    }

    /// Whether this router watches the key-value service: all routers of a small fleet
    /// do, otherwise the first few of each zone.
    #[must_use]
    pub fn is_watcher(&self, now: Millis) -> bool {
        let alive = self.alive(now);
        alive.len() <= self.limits.max_all_watching
            || tree::is_among_first(&self.own, alive.into_iter(), self.limits.watchers_per_zone)
    }

    fn all(&self) -> Vec<&Router> {
        let others = self.entries.values().map(|entry| &entry.router);
        others.chain([&self.own]).collect()
    }

    fn alive(&self, now: Millis) -> Vec<&Router> {
        let alive = self
            .entries
            .values()
            .filter(|entry| !entry.is_suspect(now, &self.limits));
        let alive = alive.map(|entry| &entry.router);
        alive.chain([&self.own]).collect()
    }
}

impl Entry {
    fn is_suspect(&self, now: Millis, limits: &Limits) -> bool {
        let since = self.failing_since;
        since.is_some_and(|since| now.saturating_sub(since) >= limits.suspect_ms)
    }

    fn is_in_contact(&self, now: Millis, limits: &Limits) -> bool {
        let at = self.last_contact_at;
        at.is_some_and(|at| now.saturating_sub(at) < limits.suspect_ms)
    }
}
