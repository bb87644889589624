//! Following the key-value service: configuration and servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::Backoff;
use mulberryyoke_platform::kv::{Changes, Error, Feed, Listing, Revision};
use tokio::time::{Instant, sleep, sleep_until};

use crate::clock;
use crate::core::Core;
use crate::exchange;

/// Longest time that a call for changes waits, in milliseconds: the age of the
/// configuration is known at least this often. Each call is paid for; keys that are
/// taken away have to stop working in some seconds also when calls fail.
const WAIT_MS: u64 = 2_000;

/// Least time between two calls for changes, in milliseconds: servers write their
/// heartbeats there many times a second, and each call is paid for.
const PACE_MS: u64 = 200;

/// Pauses after failed calls, in milliseconds.
const PAUSE_MS: (u64, u64) = (50, 400);

/// Time for which a server stays in use that lapsed while the service failed, in
/// milliseconds: those that are alive register again within it.
const LAPSE_MS: u64 = 1_500;

/// Time after the service is back in which registrations that lapsed while it
/// failed are seen to be gone, in milliseconds. Later ones end for another reason.
const FAULT_MS: u64 = 500;

/// All keys: one call tells configuration and servers alike.
const EVERY_KEY: &str = "";

/// Follows the service until the gateway ends.
pub(crate) async fn follow(core: Arc<Core>, feed: Arc<dyn Feed>) {
    let end = core.stop.end.clone();
    let mut follower = Follower {
        core,
        feed,
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
    feed: Arc<dyn Feed>,
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
            let begun = Instant::now();
            match self.feed.list(EVERY_KEY).await {
                Ok(listing) => {
                    backoff.reset();
                    self.up();
                    let revision = self.take_listing(listing);
                    self.core.view.confirm(begun);
                    self.watch(revision, &mut backoff).await;
                }
                Err(error) => self.pause(&error, &mut backoff).await,
            }
        }
    }

    /// Follows changes until the history needed is gone.
    async fn watch(&mut self, mut revision: Revision, backoff: &mut Backoff) {
        loop {
            let begun = Instant::now();
            match self.feed.changes(EVERY_KEY, revision, WAIT_MS).await {
                Ok(changes) if is_gap(revision, &changes) => return,
                Ok(changes) => {
                    backoff.reset();
                    self.up();
                    revision = revision.max(changes.revision);
                    self.take_changes(changes);
                    self.core.view.confirm(begun);
                }
                Err(Error::Compacted(_)) => return,
                Err(error) => self.pause(&error, backoff).await,
            }
            self.expire();
            sleep_until(clock::after(begun, PACE_MS)).await;
        }
    }

    async fn pause(&mut self, error: &Error, backoff: &mut Backoff) {
        let now = Instant::now();
        self.failed = Some(now);
        if !self.is_down {
            self.is_down = true;
            log!(self.core.logger, Event::KvDown, "error" => error.to_string());
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

    fn up(&mut self) {
        if self.is_down {
            self.is_down = false;
            self.failed = Some(Instant::now());
            log!(self.core.logger, Event::KvUp);
        }
    }

    fn take_listing(&mut self, listing: Listing) -> Revision {
        let prefix = self.core.protocol.servers_prefix();
        let mut gone: Vec<String> = self.known.keys().cloned().collect();
        for pair in listing.entries {
            if let Some(name) = pair.key.strip_prefix(prefix) {
                gone.retain(|known| known != name);
            }
            self.write(&pair.key, &pair.value, pair.revision);
        }
        for name in gone {
            self.remove(&name);
        }
        listing.revision
    }

    fn take_changes(&mut self, changes: Changes) {
        let prefix = self.core.protocol.servers_prefix();
        for event in changes.events {
            match (event.value, event.key.strip_prefix(prefix)) {
                (Some(value), _) => self.write(&event.key, &value, event.revision),
                (None, Some(name)) => self.remove(name),
                (None, None) => self.set_peer(&event.key, None),
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
        } else {
            let address = std::str::from_utf8(value).ok();
            self.set_peer(key, address.and_then(|address| address.parse().ok()));
        }
    }

    fn set_peer(&self, key: &str, address: Option<SocketAddr>) {
        let Some(name) = key.strip_prefix(exchange::PREFIX) else {
            return;
        };
        if name != self.core.settings.load().name {
            self.core.exchange.set_address(name, address);
        }
    }

    fn configure(&self, value: &[u8], revision: Revision) {
        match self.core.protocol.plan(value) {
            Ok(plan) => {
                let version = plan.version();
                if self.core.view.apply(plan) {
                    log!(self.core.logger, Event::ConfigApplied,
                        "revision" => revision, "version" => version, "from" => "key-value service");
                }
            }
            Err(error) => self.unreadable(self.core.protocol.config_key(), revision, &error),
        }
    }

    fn register(&mut self, name: &str, value: &[u8], revision: Revision) {
        let server = match self.core.protocol.server(name, value) {
            Ok(server) => server,
            Err(error) => return self.unreadable(name, revision, &error),
        };
        self.known.insert(name.to_owned(), revision);
        self.lapsing.remove(name);
        let is_leaving = server.is_leaving;
        let plan = self.core.view.plan();
        if self.core.roster.register(server, plan.as_deref()) {
            log!(self.core.logger, Event::ServerSeen,
                "server" => name, "leaving" => is_leaving, "revision" => revision);
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

    fn unreadable(&self, key: &str, revision: Revision, error: &crate::protocol::Unreadable) {
        log!(self.core.logger, Event::ConfigUnreadable,
            "key" => key, "revision" => revision, "error" => error.to_string());
    }
}

/// Whether changes were passed over: the service's revision rose, and no write tells why.
fn is_gap(after: Revision, changes: &Changes) -> bool {
    changes.events.is_empty() && changes.revision > after
}
