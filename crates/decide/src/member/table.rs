//! The known routers.

use std::collections::BTreeMap;

use mulberryyoke_model::Millis;

use super::tree::{self, Position};
use super::{Limits, Neighbors, Router};

#[derive(Debug)]
struct Entry {
    place: Router,
    listed: bool,
    heard_at: Option<Millis>,
    /// Since when every call has failed.
    failing_since: Option<Millis>,
    /// Whether it has been told that this router is suspect.
    told: bool,
}

/// The known routers, this one excluded.
#[derive(Debug)]
pub struct Table {
    own: Router,
    limits: Limits,
    entries: BTreeMap<String, Entry>,
}

impl Table {
    /// Opens a table that knows of no other router.
    #[must_use]
    pub fn new(own: Router, limits: Limits) -> Self {
        Self {
            own,
            limits,
            entries: BTreeMap::new(),
        }
    }

    /// Takes in the routers of the VM list. One that is no longer listed stays as long
    /// as it is heard.
    pub fn set_listed(&mut self, places: Vec<Router>, now: Millis) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for place in places {
            if place.name == self.own.name {
                continue;
            }
            let entry = self.entries.entry(place.name.clone());
            let entry = entry.or_insert_with(|| Entry {
                place: place.clone(),
                listed: true,
                heard_at: None,
                failing_since: None,
                told: false,
            });
            entry.place = place;
            entry.listed = true;
        }
        let limits = self.limits;
        self.entries
            .retain(|_, entry| entry.listed || entry.is_fresh(now, &limits));
    }

    /// A router called, or answered a call.
    pub fn record_contact(&mut self, name: &str, now: Millis) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.heard_at = Some(now);
            entry.failing_since = None;
            entry.told = false;
        }
    }

    /// A call to a router failed. Returns whether that made it suspect.
    pub fn record_failure(&mut self, name: &str, now: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        entry.failing_since.get_or_insert(now);
        let suspect = entry.is_suspect(now, &self.limits);
        suspect && !std::mem::replace(&mut entry.told, true)
    }

    /// When a router was heard last.
    #[must_use]
    pub fn last_contact_at(&self, name: &str) -> Option<Millis> {
        self.entries.get(name)?.heard_at
    }

    /// Whether calls to a router have failed for too long.
    #[must_use]
    pub fn is_suspect(&self, name: &str, now: Millis) -> bool {
        let entry = self.entries.get(name);
        entry.is_none_or(|entry| entry.is_suspect(now, &self.limits))
    }

    /// Every known router that is not suspect, this one included.
    #[must_use]
    pub fn alive_names(&self, now: Millis) -> Vec<String> {
        let trusted = self.trusted(now);
        trusted.iter().map(|place| place.name.clone()).collect()
    }

    /// With whom to exchange.
    #[must_use]
    pub fn neighbors(&self, now: Millis) -> Neighbors {
        let trusted = tree::position(&self.own, &self.trusted(now), &self.limits);
        let wanted = tree::position(&self.own, &self.all(), &self.limits);
        let wanted = match wanted {
            Position::Root(peers) => peers,
            Position::Child(parent) => vec![parent],
        };
        let suspect = wanted
            .iter()
            .filter(|place| self.is_suspect(&place.name, now));
        let probe = suspect.map(|place| place.name.clone()).collect();
        match trusted {
            Position::Root(peers) => Neighbors {
                peers: peers.iter().map(|place| place.name.clone()).collect(),
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

    /// Whether this router is one of those that watch the key-value service: every
    /// one of a small fleet, else the first few of each zone.
    #[must_use]
    pub fn is_watcher(&self, now: Millis) -> bool {
        let trusted = self.trusted(now);
        trusted.len() <= self.limits.max_all_watching
            || tree::is_among(
                &self.own,
                trusted.into_iter(),
                self.limits.watchers_per_zone,
            )
    }

    fn all(&self) -> Vec<&Router> {
        let others = self.entries.values().map(|entry| &entry.place);
        others.chain([&self.own]).collect()
    }

    fn trusted(&self, now: Millis) -> Vec<&Router> {
        let trusted = self
            .entries
            .values()
            .filter(|entry| !entry.is_suspect(now, &self.limits));
        let trusted = trusted.map(|entry| &entry.place);
        trusted.chain([&self.own]).collect()
    }
}

impl Entry {
    fn is_suspect(&self, now: Millis, limits: &Limits) -> bool {
        let since = self.failing_since;
        since.is_some_and(|since| now.saturating_sub(since) >= limits.suspect_ms)
    }

    fn is_fresh(&self, now: Millis, limits: &Limits) -> bool {
        let heard = self.heard_at;
        heard.is_some_and(|heard| now.saturating_sub(heard) < limits.suspect_ms)
    }
}
