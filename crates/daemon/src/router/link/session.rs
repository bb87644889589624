//! Connects, runs and reconnects a control link.

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

use super::config_sync::ConfigSync;
use super::control::{call_error, context_with_timeout};
use super::{Error, Link, MAX_MISSED_HEARTBEATS};
use crate::clock;
use crate::router::core::Core;
use crate::router::demand_selector::DemandSelector;

/// Initial reconnect delay; it doubles up to a heartbeat.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Minimum interval between declarations, so that changes are batched.
const DECLARE_INTERVAL: Duration = Duration::from_millis(2);

/// Timeout of polls and declarations. An unresponsive sidecar is detected earlier.
const RPC_TIMEOUT: Duration = Duration::from_hours(1);

/// Consecutive polls reporting a free slot despite declared demand, after which all
/// demand is declared again.
const MAX_IDLE_POLLS: u32 = 3;

/// Keeps a link connected until it is stopped.
pub(super) async fn run(core: Arc<Core>, link: Arc<Link>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let error = tokio::select! {
            () = link.cancel.cancelled() => break,
            error = Session::run(&core, &link) => error,
        };
        if link.status.is_up() {
            backoff = INITIAL_BACKOFF;
            log!(core.logger, Event::LinkDown,
                "server" => &link.server.name, "cause" => error.to_string());
        }
        close(&link);
        tokio::select! {
            () = link.cancel.cancelled() => break,
            () = sleep(backoff) => {}
        }
        backoff = (backoff * 2).min(link.heartbeat).max(INITIAL_BACKOFF);
    }
    close(&link);
}

fn close(link: &Link) {
    link.set_is_up(false);
    link.set_client(None);
    link.data.reset();
}

/// One connection of a control link.
struct Session<'a> {
    core: &'a Arc<Core>,
    link: &'a Arc<Link>,
    client: SidecarClient,
    declared: Mutex<DeclaredDemand>,
    redeclare: Notify,
}

impl<'a> Session<'a> {
    async fn run(core: &'a Arc<Core>, link: &'a Arc<Link>) -> Error {
        let connect = wire::connect_sidecar(link.server.control, core.fleet.control_bytes());
        let client = match timeout(link.heartbeat, connect).await {
            Ok(Ok(client)) => client,
            Ok(Err(error)) => return Error::Control(error),
            Err(_) => return Error::Timeout,
        };
        link.set_client(Some(client.clone()));
        let session = Self {
            core,
            link,
            client,
            declared: Mutex::default(),
            redeclare: Notify::new(),
        };
        if let Err(error) = session.recall().await {
            return error;
        }
        let ended = tokio::select! {
            ended = session.declare() => ended,
            ended = session.poll() => ended,
            never = ConfigSync::new(core, link, &session.client).run() => Ok(never),
        };
        match ended {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    /// Sends the sidecar the keys that were sent to it or to an earlier instance.
    async fn recall(&self) -> Result<(), Error> {
        let since = clock::now().saturating_sub(self.core.settings.retention_ms);
        let (complete, keys) = self.core.sent_keys.for_sidecar(self.link.id, since);
        let context = context_with_timeout(self.link.heartbeat * MAX_MISSED_HEARTBEATS);
        let call = self
            .client
            .recall(context, self.core.incarnation(), complete, keys);
        call.await.map_err(call_error)
    }

    /// Declares demand to the sidecar: first all of it, then changes.
    async fn declare(&self) -> Result<Infallible, Error> {
        let queue = self.core.queues.get(self.link.pool);
        let mut changed = queue.subscribe();
        let mut last_seen = 0;
        let mut full = true;
        let mut all_customers = true;
        loop {
            changed.mark_unchanged();
            let updates = {
                let mut declared = self.declared.lock();
                if full {
                    declared.clear();
                }
                let interest = queue.interest(
                    &mut last_seen,
                    &self.demand_selector(&declared, all_customers),
                );
                declared.update(interest)
            };
            if full || !updates.is_empty() {
                let count = u64::try_from(updates.len()).unwrap_or(u64::MAX);
                metrics::counter!("declarations_total").increment(1);
                metrics::counter!("declared_customers_total").increment(count);
                let context = context_with_timeout(RPC_TIMEOUT);
                let origin = self.core.incarnation();
                let call = self.client.declare(context, origin, full, updates);
                call.await.map_err(call_error)?;
                sleep(DECLARE_INTERVAL).await;
            }
            (full, all_customers) = tokio::select! {
                _ = changed.changed() => (false, false),
                () = self.link.reevaluate.notified() => (false, true),
                () = self.redeclare.notified() => (true, true),
            };
        }
    }

    /// Declares all demand again if the sidecar keeps reporting a free slot despite
    /// declared demand, because its state then differs from the router's.
    fn check_declared(&self, response: &PollResponse, idle_polls: &mut u32) {
        let is_idle =
            response.load.free > 0 && !response.load.draining && response.grants.is_empty();
        if !is_idle || self.declared.lock().is_empty() {
            *idle_polls = 0;
            return;
        }
        *idle_polls += 1;
        if *idle_polls == MAX_IDLE_POLLS {
            *idle_polls = 0;
            metrics::counter!("declarations_repeated_total").increment(1);
            self.redeclare.notify_one();
        }
    }

    /// Collects the inputs for the next declaration.
    fn demand_selector<'d>(
        &self,
        declared: &'d DeclaredDemand,
        all_customers: bool,
    ) -> DemandSelector<'d> {
        let status = &self.link.status;
        DemandSelector {
            server: self.link.id,
            has_free_slot: status.free_slots() > 0,
            excluded: status.is_excluded(),
            eligible: self.core.links.eligible(self.link.pool),
            now: clock::now(),
            declared,
            all_customers,
        }
    }

    /// Polls for grants and load.
    async fn poll(&self) -> Result<Infallible, Error> {
        let mut cursor = Cursor::default();
        let mut poll = Poll {
            origin: self.core.incarnation(),
            revision: 0,
            until: 0,
            acknowledged: 0,
            fleet: Vec::new(),
            fleet_as_of: 0,
        };
        let mut last_load = None;
        let mut idle_polls = 0;
        loop {
            poll.revision = self.core.fleet.view().revision();
            let started_at = Instant::now();
            let response = self.call_poll(&poll).await?;
            self.update_status(response.load);
            self.process_grants(&response);
            self.check_declared(&response, &mut idle_polls);
            if let Some(report) = &response.report {
                poll.acknowledged = self.core.fleet.collect(response.load.incarnation, report);
                poll.fleet = self
                    .core
                    .fleet
                    .totals_for_sidecar(response.load.incarnation, &mut cursor);
                poll.fleet_as_of = self.core.fleet.totals_as_of();
            } else {
                poll.fleet = Vec::new();
            }
            self.throttle(started_at, &response, &mut last_load).await;
            poll.until = clock::now() + self.core.settings.heartbeat_ms;
        }
    }

    /// Polls the sidecar and marks the link as down if it does not respond in time.
    async fn call_poll(&self, poll: &Poll) -> Result<PollResponse, Error> {
        let response_timeout = self.link.heartbeat * (MAX_MISSED_HEARTBEATS + 1);
        metrics::counter!("polls_total").increment(1);
        let call = self
            .client
            .poll(context_with_timeout(RPC_TIMEOUT), poll.clone());
        let mut call = std::pin::pin!(call);
        if let Ok(response) = timeout(response_timeout, &mut call).await {
            return response.map_err(call_error);
        }
        if self.link.status.is_up() {
            log!(self.core.logger, Event::LinkDown,
                "server" => &self.link.server.name, "cause" => "no response");
        }
        self.link.set_is_up(false);
        let response = timeout(response_timeout, call).await;
        response.map_err(|_| Error::Timeout)?.map_err(call_error)
    }

    fn update_status(&self, load: Load) {
        self.link.status.update(load, clock::now());
        if load.free > 0 {
            // All demand is declared to a server with a free slot.
            self.link.reevaluate.notify_one();
        }
        if !self.link.status.is_up() {
            self.link.set_is_up(true);
            log!(self.core.logger, Event::LinkUp,
                "server" => &self.link.server.name,
                "incarnation" => load.incarnation.0,
                "free" => load.free);
        }
    }

    fn process_grants(&self, response: &PollResponse) {
        let mut declined = Vec::new();
        for grant in &response.grants {
            // Must precede the removal from the queue, which triggers a declaration.
            self.declared.lock().record_grant(grant.customer);
            if !self.core.assign_grant(self.link, grant) {
                declined.push(grant.id);
            }
        }
        self.link.decline(declined);
    }

    /// Delays the next poll of a sidecar that responds immediately without changes,
    /// such as one whose clock is ahead.
    async fn throttle(
        &self,
        started_at: Instant,
        response: &PollResponse,
        last_load: &mut Option<Load>,
    ) {
        let load_changed = last_load.replace(response.load) != Some(response.load);
        let has_changes = load_changed || !response.grants.is_empty() || response.report.is_some();
        if !has_changes && started_at.elapsed() < self.link.heartbeat / 2 {
            sleep(self.link.heartbeat / 4).await;
        }
    }
}
