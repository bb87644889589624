//! Following the key-value service: configuration, servers and gateways.

mod source;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Digest;
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::{Error, Feed, Revision};
use mulberryyoke_wire::relay::Write;
use tokio::time::{Instant, sleep, sleep_until};

use self::source::{Source, Sources};
use crate::backend::Backend;
use crate::clock;
use crate::core::Core;
use crate::exchange::{self, Peer};
use crate::protocol::Unreadable;
use crate::{kept, quarantine};

/// Least time between two calls for changes, in milliseconds: each call is paid for,
/// and a burst of changes is learnt by a few calls.
const PACE_MS: u64 = 200;

/// Pauses after failed calls, in milliseconds.
const PAUSE_MS: (u64, u64) = (50, 400);

/// Time for which a server stays in use that lapsed while the service failed, in
/// milliseconds: those that are alive register again within it.
const LAPSE_MS: u64 = 1_500;

/// Time after the service is back in which registrations that lapsed while it
/// failed are seen to be gone, in milliseconds. Later ones end for another reason.
const FAULT_MS: u64 = 500;

/// Follows the service until the gateway ends.
pub(crate) async fn follow(core: Arc<Core>, feed: Arc<dyn Feed>) {
    let end = core.stop.end.clone();
    let mut follower = Follower {
        core,
        sources: Sources::new(feed),
        known: HashMap::new(),
        lapsing: HashMap::new(),
        failed: None,
        is_down: false,
    };
    tokio::select! {
        () = end.cancelled() => {}
        () = follower.run() => {}
    }
}

struct Follower {
    core: Arc<Core>,
    sources: Sources,
    /// Revision of the last write seen of each registered server.
    known: HashMap<String, Revision>,
    /// When servers that lapsed are taken to be gone.
    lapsing: HashMap<String, Instant>,
    /// When a call last failed.
    failed: Option<Instant>,
    is_down: bool,
}

impl Follower {
    async fn run(&mut self) {
        let mut backoff = Backoff::new(PAUSE_MS.0, PAUSE_MS.1);
        loop {
            let begun_ms = clock::now_ms();
            let source = self.sources.choose(&self.core);
            match self.sources.list(source).await {
                Ok(listing) => {
                    backoff.reset();
                    let revision = listing.revision;
                    self.up(source);
                    self.core
                        .mirror
                        .reset(listing.writes.iter().cloned(), revision);
                    self.take_listing(listing.writes);
                    self.confirm(source, begun_ms, listing.known_ms);
                    self.watch(revision, &mut backoff).await;
                }
                Err(error) => self.pause(source, &error, &mut backoff).await,
            }
        }
    }

    /// Follows changes until the history needed is gone.
    async fn watch(&mut self, mut revision: Revision, backoff: &mut Backoff) {
        loop {
            let (begun, begun_ms) = (Instant::now(), clock::now_ms());
            let source = self.sources.choose(&self.core);
            match self.sources.changes(source, revision).await {
                Ok(changes) => {
                    backoff.reset();
                    self.up(source);
                    revision = revision.max(changes.revision);
                    self.core.mirror.extend(&changes.writes, revision);
                    let known_ms = changes.known_ms;
                    self.take_changes(changes.writes);
                    self.confirm(source, begun_ms, known_ms);
                }
                Err(Error::Compacted(_)) => return,
                Err(error) => self.pause(source, &error, backoff).await,
            }
            self.expire();
            sleep_until(clock::after(begun, PACE_MS)).await;
        }
    }

    /// Notes that all writes are known up to `known_ms` milliseconds after a call
    /// came to its source, which is no earlier than it began.
    fn confirm(&self, source: Source, begun_ms: u64, known_ms: i64) {
        self.core
            .view
            .confirm(begun_ms.saturating_add_signed(known_ms));
        if source == Source::Store {
            self.core.view.reach(begun_ms);
        }
    }

    async fn pause(&mut self, source: Source, error: &Error, backoff: &mut Backoff) {
        let now = Instant::now();
        self.sources.fail(source, error);
        if source == Source::Store {
            self.failed = Some(now);
        }
        if !self.is_down {
            self.is_down = true;
            log!(self.core.logger, Event::KvDown,
                "source" => source.word(), "error" => error.to_string());
        }
        self.expire();
        let std_now = now.into_std();
        let until = backoff.next(std_now, &mut rand::rng());
        sleep(
            until
                .saturating_duration_since(std_now)
                .max(Duration::from_millis(1)),
        )
        .await;
    }

    fn up(&mut self, source: Source) {
        self.sources.succeed(source);
        if self.is_down {
            self.is_down = false;
            self.failed = self.failed.map(|_| Instant::now());
            log!(self.core.logger, Event::KvUp, "source" => source.word());
        }
    }

    fn take_listing(&mut self, writes: Vec<Write>) {
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

    fn take_changes(&mut self, writes: Vec<Write>) {
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
        let has_failed = self
            .failed
            .is_some_and(|at| clock::between_ms(at, now) < FAULT_MS);
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
    fn expire(&mut self) {
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
