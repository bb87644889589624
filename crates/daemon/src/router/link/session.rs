//! The life of a control link, from one connection to the next.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_decide::declare::DeclaredDemand;
use mulberryyoke_decide::exchange::Cursor;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::Load;
use mulberryyoke_wire::{self as wire, Poll, PollResponse, SidecarClient};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::control::{failed, within};
use super::teacher::Teacher;
use super::{Error, Link, SILENT_HEARTBEATS};
use crate::clock;
use crate::router::core::Core;
use crate::router::look::Look;

/// Pause after the first failure to connect; it doubles up to a heartbeat.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Least time between two declarations, so that changes are told together.
const DECLARE_PAUSE: Duration = Duration::from_millis(2);

/// Time limit of a poll on the wire. Silence is noticed long before.
pub(super) const POLL_LIMIT: Duration = Duration::from_hours(1);

/// Polls in a row that find a free slot beside waiting requests, after which
/// everything is told again.
const IDLE_POLLS: u32 = 3;

/// Keeps a link until it is stopped.
pub(super) async fn run(core: Arc<Core>, link: Arc<Link>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let error = tokio::select! {
            () = link.cancel.cancelled() => break,
            error = Session::run(&core, &link) => error,
        };
        if link.standing.is_up() {
            pause = FIRST_PAUSE;
            log!(core.logger, Event::LinkDown,
                "server" => &link.server.name, "cause" => error.to_string());
        }
        close(&link);
        tokio::select! {
            () = link.cancel.cancelled() => break,
            () = sleep(pause) => {}
        }
        pause = (pause * 2).min(link.heartbeat).max(FIRST_PAUSE);
    }
    close(&link);
}

fn close(link: &Link) {
    link.set_up(false);
    link.set_control(None);
    link.data.reset();
}

/// One connection of a control link.
struct Session<'a> {
    core: &'a Arc<Core>,
    link: &'a Arc<Link>,
    client: SidecarClient,
    told: Mutex<DeclaredDemand>,
    repeat: Notify,
}

impl<'a> Session<'a> {
    async fn run(core: &'a Arc<Core>, link: &'a Arc<Link>) -> Error {
        let connect = wire::connect_sidecar(link.server.control, core.fleet.control_bytes());
        let client = match timeout(link.heartbeat, connect).await {
            Ok(Ok(client)) => client,
            Ok(Err(error)) => return Error::Control(error),
            Err(_) => return Error::Timeout,
        };
        link.set_control(Some(client.clone()));
        let session = Self {
            core,
            link,
            client,
            told: Mutex::default(),
            repeat: Notify::new(),
        };
        if let Err(error) = session.recall().await {
            return error;
        }
        let ended = tokio::select! {
            ended = session.declare() => ended,
            ended = session.poll() => ended,
            never = Teacher::new(core, link, &session.client).run() => Ok(never),
        };
        match ended {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    /// Tells the sidecar the keys that it, or its earlier life, was sent.
    async fn recall(&self) -> Result<(), Error> {
        let since = clock::now().saturating_sub(self.core.settings.retention_ms);
        let (complete, keys) = self.core.keys.recall(self.link.id, since);
        let context = within(self.link.heartbeat * SILENT_HEARTBEATS);
        let call = self
            .client
            .recall(context, self.core.origin(), complete, keys);
        call.await.map_err(failed)
    }

    /// Tells the sidecar what waits, first all of it, then what has changed.
    async fn declare(&self) -> Result<Infallible, Error> {
        let room = self.core.rooms.get(self.link.pool);
        let mut changed = room.subscribe();
        let mut seen = 0;
        let mut full = true;
        let mut all = true;
        loop {
            changed.mark_unchanged();
            let news = {
                let mut told = self.told.lock();
                if full {
                    told.clear();
                }
                let interest = room.interest(&mut seen, &self.look(&told, all));
                told.update(interest)
            };
            if full || !news.is_empty() {
                let count = u64::try_from(news.len()).unwrap_or(u64::MAX);
                metrics::counter!("declarations_total").increment(1);
                metrics::counter!("declared_customers_total").increment(count);
                let context = within(POLL_LIMIT);
                let origin = self.core.origin();
                let call = self.client.declare(context, origin, full, news);
                call.await.map_err(failed)?;
                sleep(DECLARE_PAUSE).await;
            }
            (full, all) = tokio::select! {
                _ = changed.changed() => (false, false),
                () = self.link.reconsider.notified() => (false, true),
                () = self.repeat.notified() => (true, true),
            };
        }
    }

    /// Tells everything again if the sidecar has a free slot although it was told
    /// of waiting requests. Then what it knows is not what the router thinks.
    fn check(&self, polled: &PollResponse, idle: &mut u32) {
        let is_idle = polled.load.free > 0 && !polled.load.draining && polled.grants.is_empty();
        if !is_idle || self.told.lock().is_empty() {
            *idle = 0;
            return;
        }
        *idle += 1;
        if *idle == IDLE_POLLS {
            *idle = 0;
            metrics::counter!("declarations_repeated_total").increment(1);
            self.repeat.notify_one();
        }
    }

    /// What decides on the next declaration.
    fn look<'t>(&self, told: &'t DeclaredDemand, all: bool) -> Look<'t> {
        let standing = &self.link.standing;
        Look {
            server: self.link.id,
            has_free: standing.free() > 0,
            closed: standing.is_closed(),
            open: self.core.links.open(self.link.pool),
            now: clock::now(),
            told,
            all,
        }
    }

    /// Polls for grants and load.
    async fn poll(&self) -> Result<Infallible, Error> {
        let mut cursor = Cursor::default();
        let mut poll = Poll {
            origin: self.core.origin(),
            revision: 0,
            until: 0,
            acknowledged: 0,
            fleet: Vec::new(),
            fleet_as_of: 0,
        };
        let mut known = None;
        let mut idle = 0;
        loop {
            poll.revision = self.core.fleet.view().revision();
            let asked_at = Instant::now();
            let polled = self.ask(&poll).await?;
            self.learn(polled.load);
            self.grant(&polled);
            self.check(&polled, &mut idle);
            if let Some(report) = &polled.report {
                poll.acknowledged = self.core.fleet.collect(polled.load.incarnation, report);
                poll.fleet = self
                    .core
                    .fleet
                    .totals_for_sidecar(polled.load.incarnation, &mut cursor);
                poll.fleet_as_of = self.core.fleet.totals_as_of();
            } else {
                poll.fleet = Vec::new();
            }
            self.pace(asked_at, &polled, &mut known).await;
            poll.until = clock::now() + self.core.settings.heartbeat_ms;
        }
    }

    /// Calls the sidecar and watches for its silence.
    async fn ask(&self, poll: &Poll) -> Result<PollResponse, Error> {
        let silence = self.link.heartbeat * (SILENT_HEARTBEATS + 1);
        metrics::counter!("polls_total").increment(1);
        let call = self.client.poll(within(POLL_LIMIT), poll.clone());
        let mut call = std::pin::pin!(call);
        if let Ok(polled) = timeout(silence, &mut call).await {
            return polled.map_err(failed);
        }
        if self.link.standing.is_up() {
            log!(self.core.logger, Event::LinkDown,
                "server" => &self.link.server.name, "cause" => "silent");
        }
        self.link.set_up(false);
        let polled = timeout(silence, call).await;
        polled.map_err(|_| Error::Timeout)?.map_err(failed)
    }

    fn learn(&self, load: Load) {
        self.link.standing.learn(load, clock::now());
        if load.free > 0 {
            // A server with a free slot is told of everything that waits.
            self.link.reconsider.notify_one();
        }
        if !self.link.standing.is_up() {
            self.link.set_up(true);
            log!(self.core.logger, Event::LinkUp,
                "server" => &self.link.server.name,
                "incarnation" => load.incarnation.0,
                "free" => load.free);
        }
    }

    fn grant(&self, polled: &PollResponse) {
        let mut declined = Vec::new();
        for grant in &polled.grants {
            // Before the request leaves its room, so that the change is seen after.
            self.told.lock().record_grant(grant.customer);
            if !self.core.grant(self.link, grant) {
                declined.push(grant.id);
            }
        }
        self.link.decline(declined);
    }

    /// Keeps a sidecar whose clock is ahead, and that therefore answers each
    /// poll at once with nothing new, from being polled without a pause.
    async fn pace(&self, asked_at: Instant, polled: &PollResponse, known: &mut Option<Load>) {
        let is_news = known.replace(polled.load) != Some(polled.load);
        let has_news = is_news || !polled.grants.is_empty() || polled.report.is_some();
        if !has_news && asked_at.elapsed() < self.link.heartbeat / 2 {
            sleep(self.link.heartbeat / 4).await;
        }
    }
}
