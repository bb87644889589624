//! Applies registrations of servers in the key-value service.

use std::collections::HashMap;
use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::Revision;
use tokio::time::Instant;

use super::unreadable;
use crate::backend::Backend;
use crate::clock;
use crate::core::Core;
use crate::server::Server;
use crate::{cache_report, quarantine};

/// Time for which a server stays in use whose registration lapsed in an outage of the service, in
/// milliseconds: servers that are alive register again within it.
const LAPSE_GRACE_MS: u64 = 1_500;

/// As [`LAPSE_GRACE_MS`], for servers that a restored backup lacks: they register again with
/// their next heartbeat, and it takes as long until the registrations are applied.
const RESTORE_GRACE_MS: u64 = 2_500;

/// Time after the service failed or recovered in which an ended registration counts as lapsed in
/// the outage, in milliseconds. Later ones end for another reason.
const OUTAGE_MS: u64 = 500;

/// Longest interval between two calls to the failing service, in milliseconds, a call that hangs
/// included. If its last failure is older, the source that responds again is a peer, and
/// registrations that end count as ended.
const MAX_FAILURE_AGE_MS: u64 = 2_000;

/// Time for which removed servers are remembered, in milliseconds: a restored backup is some
/// seconds old and may still contain them.
const REMOVED_RETENTION_MS: u64 = 60_000;

/// Tracks the registrations of servers and updates the registry.
pub(super) struct Servers {
    core: Arc<Core>,
    /// Revision of the latest applied write, by name.
    revisions: HashMap<String, Revision>,
    /// When servers without a registration are removed, by name.
    lapsing: HashMap<String, Instant>,
    /// When servers were removed, by name.
    removed: HashMap<String, Instant>,
    /// When a call to the service last failed.
    last_failure: Option<Instant>,
    /// When the service last recovered.
    last_recovery: Option<Instant>,
}

impl Servers {
    pub(super) fn new(core: &Arc<Core>) -> Self {
        Self {
            core: Arc::clone(core),
            revisions: HashMap::new(),
            lapsing: HashMap::new(),
            removed: HashMap::new(),
            last_failure: None,
            last_recovery: None,
        }
    }

    /// Records that a call to the service failed.
    pub(super) const fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }

    /// Records that a source responds again: the service, if it failed recently.
    pub(super) fn record_recovery(&mut self, now: Instant) {
        let failure = self.last_failure;
        if failure.is_some_and(|at| clock::between_ms(at, now) < MAX_FAILURE_AGE_MS) {
            self.last_recovery = Some(now);
        }
    }

    /// Names of the registered servers.
    pub(super) fn names(&self) -> impl Iterator<Item = &String> {
        self.revisions.keys()
    }

    /// Applies a registration unless it is already known.
    pub(super) fn apply(&mut self, name: &str, value: &[u8], revision: Revision) {
        let known = self.revisions.get(name).copied().unwrap_or(0);
        if revision > known {
            self.revisions.insert(name.to_owned(), revision);
            self.register(name, value, revision);
        }
    }

    /// Applies a registration from a restored backup. It may be outdated, so it does not bring
    /// back a server that is leaving or removed; the server's own next write does.
    pub(super) fn apply_restored(&mut self, name: &str, value: &[u8], revision: Revision) {
        self.revisions.insert(name.to_owned(), revision);
        let current = self.core.registry.get(name);
        let is_closed = current.is_some_and(|current| current.is_closed());
        let is_ready = matches!(self.core.protocol.parse_server(name, value),
            Ok(Server { is_leaving, .. }) if !is_leaving);
        if is_ready && (is_closed || self.removed.contains_key(name)) {
            log!(self.core.logger, Event::StaleServerIgnored, "server" => name, "revision" => revision);
            return;
        }
        self.register(name, value, revision);
    }

    fn register(&mut self, name: &str, value: &[u8], revision: Revision) {
        self.lapsing.remove(name);
        self.removed.remove(name);
        let server = match self.core.protocol.parse_server(name, value) {
            Ok(server) => server,
            Err(error) => {
                unreadable::report(&self.core, name, revision, &error);
                // An unreadable registration ends the use of the server that it replaced.
                return self.remove_server(name, "registration unreadable");
            }
        };
        let is_leaving = server.is_leaving;
        let config = self.core.view.config();
        let pool = config.as_ref().and_then(|config| config.pool(server.pool));
        let may_be_cold = pool.is_none_or(|pool| pool.cold.is_some());
        let left_ms = Some(server.cold_left_ms).filter(|left_ms| may_be_cold && *left_ms > 0);
        let before = self.core.registry.get(name);
        let is_new = self.core.registry.register(server, config.as_deref());
        let backend = self.core.registry.get(name);
        if let (Some(left_ms), Some(backend)) = (left_ms, &backend) {
            backend.cold.extend(clock::ms_from_now(left_ms));
        }
        if is_new {
            self.end_replaced(name, before);
            log!(self.core.logger, Event::ServerRegistered,
                "server" => name, "leaving" => is_leaving, "revision" => revision);
            if let Some(backend) = backend.filter(|_| !is_leaving) {
                cache_report::spawn_fetch(&self.core, &backend);
            }
        }
    }

    /// Records the end of an instance that another one replaced.
    fn end_replaced(&self, name: &str, before: Option<Arc<Backend>>) {
        let current = self
            .core
            .registry
            .get(name)
            .map(|current| current.server.id);
        let is_other =
            |before: &Arc<Backend>| current != Some(before.server.id) && !before.server.is_leaving;
        self.record_end(before.filter(is_other));
    }

    /// Records that an instance that was in use has ended.
    fn record_end(&self, backend: Option<Arc<Backend>>) {
        if let Some(backend) = backend {
            tokio::spawn(quarantine::record_lapse(Arc::clone(&self.core), backend));
        }
    }

    /// Schedules the removal of a server that a restored backup lacks.
    pub(super) fn mark_missing(&mut self, name: &str) {
        self.revisions.remove(name);
        let removed_at = clock::after(Instant::now(), RESTORE_GRACE_MS);
        self.lapsing.entry(name.to_owned()).or_insert(removed_at);
    }

    /// Removes a server whose registration ended; after a grace period if the service failed
    /// recently.
    pub(super) fn remove(&mut self, name: &str) {
        self.revisions.remove(name);
        let now = Instant::now();
        let outages = [self.last_failure, self.last_recovery];
        let mut outages = outages.into_iter().flatten();
        let has_failed = outages.any(|at| clock::between_ms(at, now) < OUTAGE_MS);
        if has_failed {
            let removed_at = clock::after(now, LAPSE_GRACE_MS);
            self.lapsing.entry(name.to_owned()).or_insert(removed_at);
            return;
        }
        self.end_server(name, "registration ended");
    }

    /// Removes a server that has ended, which is evidence against what broke off there unless it
    /// was leaving.
    fn end_server(&mut self, name: &str, reason: &str) {
        let backend = self.core.registry.get(name);
        self.record_end(backend.filter(|backend| !backend.is_closed()));
        self.remove_server(name, reason);
    }

    /// When the next grace period is over, in milliseconds of [`clock::now_ms`].
    pub(super) fn next_expiry(&self) -> Option<u64> {
        let next = self.lapsing.values().min()?;
        // Rounded up.
        let left_ms = clock::between_ms(Instant::now(), *next) + 1;
        Some(clock::now_ms() + left_ms)
    }

    /// Removes servers that have not registered again within the grace period.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let expired = self.lapsing.iter().filter(|(_, at)| **at <= now);
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.lapsing.remove(&name);
            self.end_server(&name, "registration lapsed");
        }
        self.removed
            .retain(|_, at| clock::between_ms(*at, now) < REMOVED_RETENTION_MS);
    }

    fn remove_server(&mut self, name: &str, reason: &str) {
        if self.core.registry.remove(name) {
            self.removed.insert(name.to_owned(), Instant::now());
            log!(self.core.logger, Event::ServerRemoved, "server" => name, "why" => reason);
        }
    }
}
