//! Applies keys of the key-value service: configuration, servers, gateways, evacuated
//! availability zones and convictions.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::{Position, Revision};
use mulberryyoke_wire::relay::Write;
use tokio::time::Instant;

use super::cold_shares::ColdShares;
use super::servers::Servers;
use super::unreadable;
use super::zones::Zones;
use crate::clock;
use crate::core::Core;
use crate::exchange::{self, Peer};
use crate::protocol::ParseError;
use crate::quarantine::{self, Culprit};
use crate::streams;

/// Time for which a key stays in force that a restored backup lacks, in milliseconds: gateways
/// register again within two seconds, and operators repeat their lost writes.
const RESTORE_GRACE_MS: u64 = 10_000;

/// Applies listings and changes of the key-value service to this gateway's state.
pub(super) struct Applier {
    core: Arc<Core>,
    /// Position up to which writes are applied; `None` before the first listing.
    position: Option<Position>,
    /// Existing keys, except those of servers.
    keys: HashSet<String>,
    /// Keys that a restored backup lacks, and when they expire.
    missing: HashMap<String, Instant>,
    servers: Servers,
    zones: Zones,
    cold_shares: ColdShares,
}

impl Applier {
    pub(super) fn new(core: &Arc<Core>) -> Self {
        Self {
            core: Arc::clone(core),
            position: None,
            keys: HashSet::new(),
            missing: HashMap::new(),
            servers: Servers::new(core),
            zones: Zones::new(core),
            cold_shares: ColdShares::new(core),
        }
    }

    /// Position up to which writes are applied; the default position before the first listing.
    pub(super) fn position(&self) -> Position {
        self.position.unwrap_or_default()
    }

    /// Records that a call to the service failed.
    pub(super) const fn record_failure(&mut self, now: Instant) {
        self.servers.record_failure(now);
    }

    /// Records that a source responds again.
    pub(super) fn record_recovery(&mut self, now: Instant) {
        self.servers.record_recovery(now);
    }

    /// Applies a listing of every key.
    pub(super) fn apply_listing(&mut self, writes: Vec<Write>, position: Position) {
        let before = self.position.replace(position);
        let is_restored = before.is_some_and(|before| position.era > before.era);
        if is_restored {
            log!(self.core.logger, Event::KvRestored,
                "era" => position.era, "revision" => position.revision);
            metrics::counter!("kv_restored_total").increment(1);
        }
        let prefix = self.core.protocol.servers_prefix();
        let mut absent_servers: HashSet<String> = self.servers.names().cloned().collect();
        let mut absent_keys: HashSet<String> = self.keys.clone();
        let mut records = streams::Listing::default();
        for write in writes {
            if let Some(name) = write.key.strip_prefix(prefix) {
                absent_servers.remove(name);
                let value = write.value.unwrap_or_default();
                if is_restored {
                    self.servers.apply_restored(name, &value, write.revision);
                } else {
                    self.servers.apply(name, &value, write.revision);
                }
                continue;
            }
            let value = write.value.as_deref().unwrap_or_default();
            if !records.add(&write.key, value, write.revision) {
                absent_keys.remove(&write.key);
                self.apply_put(write);
            }
        }
        records.apply(&self.core, position.era);
        self.remove_absent(&absent_servers, &absent_keys, is_restored);
        self.cold_shares.members.start(clock::now_ms());
    }

    /// Removes servers and keys that a listing lacks: at once, or, after a restore from a backup,
    /// unless they are written again in time.
    fn remove_absent(
        &mut self,
        servers: &HashSet<String>,
        keys: &HashSet<String>,
        is_restored: bool,
    ) {
        let expires_at = clock::after(Instant::now(), RESTORE_GRACE_MS);
        for name in servers {
            if is_restored {
                self.servers.mark_missing(name);
            } else {
                self.servers.remove(name);
            }
        }
        for key in keys {
            if is_restored {
                self.missing.insert(key.clone(), expires_at);
                if let Some(culprit) = Culprit::parse_key(key) {
                    quarantine::forget_written(&self.core, culprit);
                    quarantine::rewrite(&self.core, culprit);
                }
            } else if !self.missing.contains_key(key) {
                self.apply_delete(key);
            }
        }
    }

    /// Applies writes in the order of their revisions.
    pub(super) fn apply_changes(&mut self, writes: Vec<Write>, position: Position) {
        self.position = Some(position);
        let prefix = self.core.protocol.servers_prefix();
        for write in writes {
            let value = write.value.as_deref();
            if streams::apply_record(&self.core, &write.key, value, write.revision) {
                continue;
            }
            let name = write.key.strip_prefix(prefix);
            match (&write.value, name) {
                (Some(value), Some(name)) => self.servers.apply(name, value, write.revision),
                (None, Some(name)) => self.servers.remove(name),
                (Some(_), None) => self.apply_put(write),
                (None, None) => self.apply_delete(&write.key),
            }
        }
    }

    /// Updates this gateway's shares of cold servers after all changes are applied.
    pub(super) fn update_cold_shares(&mut self) {
        self.cold_shares.update();
    }

    /// When the next grace period of a server is over, in milliseconds of [`clock::now_ms`].
    pub(super) fn next_expiry(&self) -> Option<u64> {
        self.servers.next_expiry()
    }

    /// Removes servers and keys whose grace period is over.
    pub(super) fn expire(&mut self) {
        self.servers.expire();
        let now = Instant::now();
        let expired = self.missing.iter().filter(|(_, at)| **at <= now);
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.apply_delete(&key);
        }
        self.cold_shares.update();
    }

    fn apply_put(&mut self, write: Write) {
        let value = write.value.as_deref().unwrap_or_default();
        let (key, revision) = (write.key.as_str(), write.revision);
        self.missing.remove(key);
        let protocol = Arc::clone(&self.core.protocol);
        if key == protocol.config_key() {
            self.apply_config(value, revision);
        } else if let Some(zone) = key.strip_prefix(protocol.evacuations_prefix()) {
            self.zones.evacuate(zone);
        } else if let Some(culprit) = Culprit::parse_key(key) {
            self.apply_conviction(culprit, value, revision);
        } else if let Some(name) = key.strip_prefix(exchange::PEERS_PREFIX) {
            self.set_peer(name, Peer::parse(value));
        } else if let Some(name) = key.strip_prefix(exchange::HANDOFFS_PREFIX) {
            let address = std::str::from_utf8(value).ok();
            let address = address.and_then(|text| text.parse().ok());
            self.core.exchange.set_handoff(name, address);
        }
        self.keys.insert(write.key);
    }

    fn apply_delete(&mut self, key: &str) {
        self.keys.remove(key);
        let was_missing = self.missing.remove(key).is_some();
        let prefix = self.core.protocol.evacuations_prefix();
        if let Some(zone) = key.strip_prefix(prefix) {
            self.zones.restore(zone);
        } else if let Some(culprit) = Culprit::parse_key(key) {
            // A conviction expires by itself; its loss in a restore does not clear it.
            if was_missing {
                quarantine::forget_written(&self.core, culprit);
            } else {
                quarantine::release(&self.core, culprit);
            }
        } else if let Some(name) = key.strip_prefix(exchange::PEERS_PREFIX) {
            self.set_peer(name, None);
        } else if let Some(name) = key.strip_prefix(exchange::HANDOFFS_PREFIX) {
            self.core.exchange.set_handoff(name, None);
        }
    }

    /// Merges a conviction that a gateway wrote.
    fn apply_conviction(&self, culprit: Culprit, value: &[u8], revision: Revision) {
        if !quarantine::receive_written(&self.core, culprit, value) {
            let error = ParseError {
                subject: "crashes under a request or prompt part".to_owned(),
                reason: "server ids or ages are not numbers".to_owned(),
            };
            unreadable::report(&self.core, &culprit.to_string(), revision, &error);
        }
    }

    fn set_peer(&mut self, name: &str, peer: Option<Peer>) {
        if name == self.core.settings.load().name {
            return;
        }
        match peer {
            Some(_) => self.cold_shares.members.join(name),
            None => self.cold_shares.members.leave(name, clock::now_ms()),
        }
        self.core.exchange.set_peer(name, peer);
    }

    fn apply_config(&mut self, value: &[u8], revision: Revision) {
        match self.core.protocol.parse_config(value) {
            Ok(config) => {
                let version = config.version();
                if self.core.view.apply(config) {
                    self.cold_shares.members.invalidate();
                    log!(self.core.logger, Event::ConfigApplied,
                        "revision" => revision, "version" => version, "view_age_ms" => self.core.view.age_ms());
                }
            }
            Err(error) => {
                let key = self.core.protocol.config_key();
                unreadable::report(&self.core, key, revision, &error);
            }
        }
    }
}
