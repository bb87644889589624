//! Servers as they are registered in the key-value service.

use std::collections::HashMap;
use std::sync::Arc;

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::Revision;
use tokio::time::Instant;

use crate::backend::Backend;
use crate::clock;
use crate::core::Core;
use crate::protocol::ParseError;
use crate::server::Server;
use crate::{cache_report, quarantine};

/// Time for which a server stays in use that lapsed while the service failed, in
/// milliseconds: those that are alive register again within it.
const LAPSE_MS: u64 = 1_500;

/// As [`LAPSE_MS`], for servers that a copy lacks from which the service came back: they
/// register again with their next heartbeat, and it takes as long for the registrations to
/// be in force.
const RESTORE_MS: u64 = 2_500;

/// Time after the service is back in which registrations that lapsed while it
/// failed are seen to be gone, in milliseconds. Later ones end for another reason.
const FAULT_MS: u64 = 500;

/// Time after its last failed call in which the service is taken to have failed until now, in
/// milliseconds: while it fails it is asked at least this often, a call that hangs included.
/// Later, a source that answers again is a peer, and registrations that end do so for good.
const RECENT_MS: u64 = 2_000;

/// Time for which servers are remembered that are gone, in milliseconds: a copy from which the
/// service comes back is some seconds old and may still have them.
const GONE_MS: u64 = 60_000;

/// Servers as they are registered.
pub(super) struct Servers {
    core: Arc<Core>,
    /// Revision of the last write seen of each.
    known: HashMap<String, Revision>,
    /// When servers that lapsed are taken to be gone.
    lapsing: HashMap<String, Instant>,
    /// When servers ended that are gone.
    gone: HashMap<String, Instant>,
    /// When a call to the service last failed.
    failed: Option<Instant>,
    /// When it was last back.
    recovered: Option<Instant>,
}

impl Servers {
    pub(super) fn new(core: &Arc<Core>) -> Self {
        Self {
            core: Arc::clone(core),
            known: HashMap::new(),
            lapsing: HashMap::new(),
            gone: HashMap::new(),
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

    /// The names that are registered.
    pub(super) fn names(&self) -> impl Iterator<Item = &String> {
        self.known.keys()
    }

    /// Takes in a registration.
    pub(super) fn write(&mut self, name: &str, value: &[u8], revision: Revision) {
        let known = self.known.get(name).copied().unwrap_or(0);
        if revision > known {
            self.known.insert(name.to_owned(), revision);
            self.register(name, value, revision);
        }
    }

    /// Takes in a registration as a copy has it from which the service came back: it may be
    /// older than what is known here, and brings no server back that leaves or is gone. What
    /// the server itself writes again is newer.
    pub(super) fn restore(&mut self, name: &str, value: &[u8], revision: Revision) {
        self.known.insert(name.to_owned(), revision);
        let held = self.core.registry.get(name);
        let is_closed = held.is_some_and(|held| held.is_closed());
        let is_ready = matches!(self.core.protocol.parse_server(name, value),
            Ok(Server { is_leaving, .. }) if !is_leaving);
        if is_ready && (is_closed || self.gone.contains_key(name)) {
            log!(self.core.logger, Event::StaleServerIgnored, "server" => name, "revision" => revision);
            return;
        }
        self.register(name, value, revision);
    }

    fn register(&mut self, name: &str, value: &[u8], revision: Revision) {
        self.lapsing.remove(name);
        self.gone.remove(name);
        let server = match self.core.protocol.parse_server(name, value) {
            Ok(server) => server,
            Err(error) => {
                self.unreadable(name, revision, &error);
                // Whoever wrote it: it names no server to use, an earlier one included.
                return self.drop_server(name, "registration unreadable");
            }
        };
        let is_leaving = server.is_leaving;
        let plan = self.core.view.plan();
        let pool = plan.as_ref().and_then(|plan| plan.pool(server.pool));
        let may_be_cold = pool.is_none_or(|pool| pool.cold.is_some());
        let left_ms = Some(server.cold_left_ms).filter(|left_ms| may_be_cold && *left_ms > 0);
        let before = self.core.registry.get(name);
        let is_new = self.core.registry.register(server, plan.as_deref());
        let backend = self.core.registry.get(name);
        if let (Some(left_ms), Some(backend)) = (left_ms, &backend) {
            backend.cold.extend(clock::now_ms() + left_ms);
        }
        if is_new {
            self.replaced(name, before);
            log!(self.core.logger, Event::ServerRegistered,
                "server" => name, "leaving" => is_leaving, "revision" => revision);
            if let Some(backend) = backend.filter(|_| !is_leaving) {
                cache_report::spawn_fetch(&self.core, &backend);
            }
        }
    }

    /// Notes that another life of a server has taken the place of one.
    fn replaced(&self, name: &str, before: Option<Arc<Backend>>) {
        let now = self.core.registry.get(name).map(|now| now.server.id);
        let is_other =
            |before: &Arc<Backend>| now != Some(before.server.id) && !before.server.is_leaving;
        self.lapse(before.filter(is_other));
    }

    /// Notes that a life of a server is over that was in use.
    fn lapse(&self, backend: Option<Arc<Backend>>) {
        if let Some(backend) = backend {
            tokio::spawn(quarantine::record_lapse(Arc::clone(&self.core), backend));
        }
    }

    /// Notes that a copy lacks a server from which the service came back.
    pub(super) fn miss(&mut self, name: &str) {
        self.known.remove(name);
        let until = clock::after(Instant::now(), RESTORE_MS);
        self.lapsing.entry(name.to_owned()).or_insert(until);
    }

    /// Notes that a registration has ended.
    pub(super) fn remove(&mut self, name: &str) {
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
        let backend = self.core.registry.get(name);
        self.lapse(backend.filter(|backend| !backend.is_closed()));
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
        self.gone
            .retain(|_, at| clock::between_ms(*at, now) < GONE_MS);
    }

    fn drop_server(&mut self, name: &str, why: &str) {
        if self.core.registry.remove(name) {
            self.gone.insert(name.to_owned(), Instant::now());
            log!(self.core.logger, Event::ServerRemoved, "server" => name, "why" => why);
        }
    }

    fn unreadable(&self, name: &str, revision: Revision, error: &ParseError) {
        log!(self.core.logger, Event::ConfigUnreadable,
            "key" => name, "revision" => revision, "error" => error.to_string());
    }
}
