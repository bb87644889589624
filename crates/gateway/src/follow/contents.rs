//! What the key-value service holds, put in force here: configuration, servers, gateways,
//! evacuated availability zones and convictions.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Digest;
use mulberryyoke_platform::kv::{Position, Revision};
use mulberryyoke_wire::relay::Write;
use tokio::time::Instant;

use super::servers::Servers;
use super::shares::Shares;
use super::zones::Zones;
use crate::clock;
use crate::core::Core;
use crate::exchange::{self, Peer};
use crate::protocol::ParseError;
use crate::quarantine;

/// Time for which a key is still taken to be there that a copy lacks from which the service came
/// back, in milliseconds: gateways register again within two seconds, and operators write again
/// what they had written.
const RESTORE_MS: u64 = 10_000;

/// What is known of the service's contents beside what is in force.
pub(super) struct Contents {
    core: Arc<Core>,
    /// How far the service's writes are known; `None` before the first contents.
    position: Option<Position>,
    /// Keys that exist, but for those of servers.
    keys: HashSet<String>,
    /// When keys are taken to be gone that the service lacks since it came back from a copy.
    missing: HashMap<String, Instant>,
    servers: Servers,
    zones: Zones,
    shares: Shares,
}

impl Contents {
    pub(super) fn new(core: &Arc<Core>) -> Self {
        Self {
            core: Arc::clone(core),
            position: None,
            keys: HashSet::new(),
            missing: HashMap::new(),
            servers: Servers::new(core),
            zones: Zones::new(core),
            shares: Shares::new(core),
        }
    }

    /// How far the service's writes are known; the very beginning before the first contents.
    pub(super) fn position(&self) -> Position {
        self.position.unwrap_or_default()
    }

    /// Notes that a call to the service failed.
    pub(super) const fn fail(&mut self, now: Instant) {
        self.servers.fail(now);
    }

    /// Notes that a source answers again.
    pub(super) fn recover(&mut self, now: Instant) {
        self.servers.recover(now);
    }

    /// Takes in every key.
    pub(super) fn take_listing(&mut self, writes: Vec<Write>, position: Position) {
        let before = self.position.replace(position);
        let is_restored = before.is_some_and(|before| position.era > before.era);
        if is_restored {
            log!(self.core.logger, Event::KvRestored,
                "era" => position.era, "revision" => position.revision);
            metrics::counter!("kv_restored_total").increment(1);
        }
        let prefix = self.core.protocol.servers_prefix();
        let mut gone: HashSet<String> = self.servers.names().cloned().collect();
        let mut absent: HashSet<String> = self.keys.clone();
        for write in writes {
            if let Some(name) = write.key.strip_prefix(prefix) {
                gone.remove(name);
                let value = write.value.unwrap_or_default();
                if is_restored {
                    self.servers.restore(name, &value, write.revision);
                } else {
                    self.servers.write(name, &value, write.revision);
                }
            } else {
                absent.remove(&write.key);
                self.put(write);
            }
        }
        self.lose(&gone, &absent, is_restored);
        self.shares.members.start(clock::now_ms());
    }

    /// Notes that servers and keys are no longer there: for good, or, if a copy lacks them from
    /// which the service came back, until they had time to be written again.
    fn lose(&mut self, servers: &HashSet<String>, keys: &HashSet<String>, is_restored: bool) {
        let until = clock::after(Instant::now(), RESTORE_MS);
        for name in servers {
            if is_restored {
                self.servers.miss(name);
            } else {
                self.servers.remove(name);
            }
        }
        for key in keys {
            if is_restored {
                self.missing.insert(key.clone(), until);
                if let Some(digest) = quarantine::digest_of(key) {
                    quarantine::rewrite(&self.core, digest);
                }
            } else if !self.missing.contains_key(key) {
                self.forget(key);
            }
        }
    }

    /// Takes in writes in the order of their revisions.
    pub(super) fn take_changes(&mut self, writes: Vec<Write>, position: Position) {
        self.position = Some(position);
        let prefix = self.core.protocol.servers_prefix();
        for write in writes {
            let name = write.key.strip_prefix(prefix);
            match (&write.value, name) {
                (Some(value), Some(name)) => self.servers.write(name, value, write.revision),
                (None, Some(name)) => self.servers.remove(name),
                (Some(_), None) => self.put(write),
                (None, None) => self.forget(&write.key),
            }
        }
    }

    /// Finds what this gateway may send to cold servers once all changes are in force.
    pub(super) fn settle(&mut self) {
        self.shares.settle();
    }

    /// Takes to be gone what is missing for long.
    pub(super) fn expire(&mut self) {
        self.servers.expire();
        let now = Instant::now();
        let due = self.missing.iter().filter(|(_, until)| **until <= now);
        let due: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            self.forget(&key);
        }
        self.shares.settle();
    }

    fn put(&mut self, write: Write) {
        let value = write.value.as_deref().unwrap_or_default();
        let (key, revision) = (write.key.as_str(), write.revision);
        self.missing.remove(key);
        let protocol = Arc::clone(&self.core.protocol);
        if key == protocol.config_key() {
            self.configure(value, revision);
        } else if let Some(zone) = key.strip_prefix(protocol.evacuations_prefix()) {
            self.zones.evacuate(zone);
        } else if let Some(digest) = quarantine::digest_of(key) {
            self.convict(digest, value, revision);
        } else if let Some(name) = key.strip_prefix(exchange::PEERS_PREFIX) {
            self.set_peer(name, Peer::parse(value));
        } else if let Some(name) = key.strip_prefix(exchange::HANDOFFS_PREFIX) {
            let address = std::str::from_utf8(value).ok();
            let address = address.and_then(|text| text.parse().ok());
            self.core.exchange.set_handoff(name, address);
        }
        self.keys.insert(write.key);
    }

    fn forget(&mut self, key: &str) {
        self.keys.remove(key);
        let was_missing = self.missing.remove(key).is_some();
        let prefix = self.core.protocol.evacuations_prefix();
        if let Some(zone) = key.strip_prefix(prefix) {
            self.zones.admit(zone);
        } else if let Some(digest) = quarantine::digest_of(key) {
            // What is held against a request fades by itself; that it was lost clears nothing.
            if !was_missing {
                quarantine::release(&self.core, digest);
            }
        } else if let Some(name) = key.strip_prefix(exchange::PEERS_PREFIX) {
            self.set_peer(name, None);
        } else if let Some(name) = key.strip_prefix(exchange::HANDOFFS_PREFIX) {
            self.core.exchange.set_handoff(name, None);
        }
    }

    /// Takes in what gateways found out of a request. One that an operator or a run that ended
    /// well has cleared names no lives.
    fn convict(&self, digest: Digest, value: &[u8], revision: Revision) {
        match quarantine::parse(digest, value) {
            Some(suspect) if suspect.crashes.is_empty() => quarantine::release(&self.core, digest),
            Some(suspect) => quarantine::receive(&self.core, &[suspect]),
            None => {
                let error = ParseError {
                    subject: "lives that ended under a request".to_owned(),
                    reason: "they are no numbers".to_owned(),
                };
                self.unreadable(&digest.to_string(), revision, &error);
            }
        }
    }

    fn set_peer(&mut self, name: &str, peer: Option<Peer>) {
        if name == self.core.settings.load().name {
            return;
        }
        match peer {
            Some(_) => self.shares.members.join(name),
            None => self.shares.members.leave(name, clock::now_ms()),
        }
        self.core.exchange.set_peer(name, peer);
    }

    fn configure(&mut self, value: &[u8], revision: Revision) {
        match self.core.protocol.parse_config(value) {
            Ok(config) => {
                let version = config.version();
                if self.core.view.apply(config) {
                    self.shares.members.invalidate();
                    log!(self.core.logger, Event::ConfigApplied,
                        "revision" => revision, "version" => version, "view_age_ms" => self.core.view.age_ms());
                }
            }
            Err(error) => self.unreadable(self.core.protocol.config_key(), revision, &error),
        }
    }

    fn unreadable(&self, key: &str, revision: Revision, error: &ParseError) {
        log!(self.core.logger, Event::ConfigUnreadable,
            "key" => key, "revision" => revision, "error" => error.to_string());
    }
}
