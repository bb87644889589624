//! What the key-value service holds, put in force here: configuration, servers, gateways and
//! convictions.

use std::collections::HashMap;
use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Digest;
use mulberryyoke_platform::kv::Revision;
use mulberryyoke_wire::relay::Write;
use tokio::time::Instant;

use crate::backend::Backend;
use crate::clock;
use crate::core::Core;
use crate::exchange::{self, Peer};
use crate::protocol::Unreadable;
use crate::{kept, quarantine};

/// Time for which a server stays in use that lapsed while the service failed, in
/// milliseconds: those that are alive register again within it.
const LAPSE_MS: u64 = 1_500;

/// Time after the service is back in which registrations that lapsed while it
/// failed are seen to be gone, in milliseconds. Later ones end for another reason.
const FAULT_MS: u64 = 500;

/// Time after its last failed call in which the service is taken to have failed until now, in
/// milliseconds: while it fails it is asked at least this often, a call that hangs included.
/// Later, a source that answers again is a peer, and registrations that end do so for good.
const RECENT_MS: u64 = 2_000;

/// What is known of the service's contents beside what is in force.
pub(super) struct Contents {
    core: Arc<Core>,
    /// Revision of the last write seen of each registered server.
    known: HashMap<String, Revision>,
    /// When servers that lapsed are taken to be gone.
    lapsing: HashMap<String, Instant>,
    /// When a call to the service last failed.
    failed: Option<Instant>,
    /// When it was last back.
    recovered: Option<Instant>,
}

impl Contents {
    pub(super) fn new(core: &Arc<Core>) -> Self {
        Self {
            core: Arc::clone(core),
            known: HashMap::new(),
            lapsing: HashMap::new(),
            failed: None,
            recovered: None,
        }
    }

    /// Notes that a call to the service failed.
    pub(super) const fn fail(&mut self, now: Instant) {
        self.failed = Some(now);
    }

    /// Notes that a source answers again: the service, if that was failing.
    pub(super) fn recover(&mut self, now: Instant) {
        let failed = self.failed;
        if failed.is_some_and(|at| clock::between_ms(at, now) < RECENT_MS) {
            self.recovered = Some(now);
        }
    }

    /// Takes in every key.
    pub(super) fn take_listing(&mut self, writes: Vec<Write>) {
        let prefix = self.core.protocol.servers_prefix();
        let mut gone: Vec<String> = self.known.keys().cloned().collect();
        for write in writes {
            if let Some(name) = write.key.strip_prefix(prefix) {
                gone.retain(|known| known != name);
            }
            let value = write.value.unwrap_or_default();
            self.write(&write.key, &value, write.revision);
        }
        for name in gone {
            self.remove(&name);
        }
    }

    /// Takes in writes in the order of their revisions.
    pub(super) fn take_changes(&mut self, writes: Vec<Write>) {
        let prefix = self.core.protocol.servers_prefix();
        for event in writes {
            match (event.value, event.key.strip_prefix(prefix)) {
                (Some(value), _) => self.write(&event.key, &value, event.revision),
                (None, Some(name)) => self.remove(name),
                (None, None) => self.forget(&event.key),
            }
        }
    }

    fn write(&mut self, key: &str, value: &[u8], revision: Revision) {
        let protocol = Arc::clone(&self.core.protocol);
        if key == protocol.config_key() {
            self.configure(value, revision);
        } else if let Some(name) = key.strip_prefix(protocol.servers_prefix()) {
            let known = self.known.get(name).copied().unwrap_or(0);
            if revision > known {
                self.register(name, value, revision);
            }
        } else if let Some(digest) = quarantine::digest_of(key) {
            self.convict(digest, value, revision);
        } else {
            self.set_peer(key, Peer::read(value));
        }
    }

    fn forget(&self, key: &str) {
        match quarantine::digest_of(key) {
            Some(digest) => quarantine::release(&self.core, digest),
            None => self.set_peer(key, None),
        }
    }

    /// Takes in what gateways found out of a request. One that an operator or a run that ended
    /// well has cleared names no lives.
    fn convict(&self, digest: Digest, value: &[u8], revision: Revision) {
        match quarantine::read(digest, value) {
            Some(suspect) if suspect.ends.is_empty() => quarantine::release(&self.core, digest),
            Some(suspect) => quarantine::hear(&self.core, &[suspect]),
            None => {
                let error = Unreadable {
                    what: "lives that ended under a request".to_owned(),
                    why: "they are no numbers".to_owned(),
                };
                self.unreadable(&digest.to_string(), revision, &error);
            }
        }
    }

    fn set_peer(&self, key: &str, peer: Option<Peer>) {
        let Some(name) = key.strip_prefix(exchange::PREFIX) else {
            return;
        };
        if name != self.core.settings.load().name {
            self.core.exchange.set_peer(name, peer);
        }
    }

    fn configure(&self, value: &[u8], revision: Revision) {
        match self.core.protocol.plan(value) {
            Ok(plan) => {
                let version = plan.version();
                if self.core.view.apply(plan) {
                    log!(self.core.logger, Event::ConfigApplied,
                        "revision" => revision, "version" => version, "view_age_ms" => self.core.view.age_ms());
                }
            }
            Err(error) => self.unreadable(self.core.protocol.config_key(), revision, &error),
        }
    }

    fn register(&mut self, name: &str, value: &[u8], revision: Revision) {
        let server = match self.core.protocol.server(name, value) {
            Ok(server) => server,
            Err(error) => {
                self.unreadable(name, revision, &error);
                // Whoever wrote it: it names no server to use, an earlier one included.
                self.known.insert(name.to_owned(), revision);
                self.lapsing.remove(name);
                return self.drop_server(name, "registration unreadable");
            }
        };
        self.known.insert(name.to_owned(), revision);
        self.lapsing.remove(name);
        let is_leaving = server.is_leaving;
        let plan = self.core.view.plan();
        let before = self.core.roster.get(name);
        if self.core.roster.register(server, plan.as_deref()) {
            self.replaced(name, before);
            log!(self.core.logger, Event::ServerSeen,
                "server" => name, "leaving" => is_leaving, "revision" => revision);
            if let Some(backend) = self.core.roster.get(name).filter(|_| !is_leaving) {
                kept::spawn(&self.core, &backend);
            }
        }
    }

    /// Notes that another life of a server has taken the place of one.
    fn replaced(&self, name: &str, before: Option<Arc<Backend>>) {
        let now = self.core.roster.get(name).map(|now| now.server.id);
        let is_other =
            |before: &Arc<Backend>| now != Some(before.server.id) && !before.server.is_leaving;
        self.lapse(before.filter(is_other));
    }

    /// Notes that a life of a server is over that was in use.
    fn lapse(&self, backend: Option<Arc<Backend>>) {
        if let Some(backend) = backend {
            tokio::spawn(quarantine::lapsed(Arc::clone(&self.core), backend));
        }
    }

    fn remove(&mut self, name: &str) {
        self.known.remove(name);
        let now = Instant::now();
        let faults = [self.failed, self.recovered];
        let mut faults = faults.into_iter().flatten();
        let has_failed = faults.any(|at| clock::between_ms(at, now) < FAULT_MS);
        if has_failed {
            let until = clock::after(now, LAPSE_MS);
            self.lapsing.entry(name.to_owned()).or_insert(until);
            return;
        }
        let backend = self.core.roster.get(name);
        self.lapse(backend.filter(|backend| backend.is_open()));
        self.drop_server(name, "registration ended");
    }

    /// Takes servers to be gone that lapsed and have not come back.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let due = self.lapsing.iter().filter(|(_, until)| **until <= now);
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            self.lapsing.remove(&name);
            self.drop_server(&name, "registration lapsed");
        }
    }

    fn drop_server(&self, name: &str, why: &str) {
        if self.core.roster.remove(name) {
            log!(self.core.logger, Event::ServerGone, "server" => name, "why" => why);
        }
    }

    fn unreadable(&self, key: &str, revision: Revision, error: &Unreadable) {
        log!(self.core.logger, Event::ConfigUnreadable,
            "key" => key, "revision" => revision, "error" => error.to_string());
    }
}
