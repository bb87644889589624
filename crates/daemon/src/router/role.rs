//! A running router.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_event::slog::Logger;
use mulberryyoke_event::{Event, log};
use mulberryyoke_model::{Attempt, KeyId, Millis, Outcome, ServerId};
use mulberryyoke_settings as settings;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::core::Core;
use super::error::Error;
use super::inspect::Inspector;
use super::listener::Listener;
use super::{links, operator_api, outcome};
use crate::fleet::{Fleet, LocalRequests};
use crate::operator::Api;

/// How long to refuse requests on open connections before closing the listener.
const REFUSE_PERIOD: Duration = Duration::from_secs(2);

/// Caps [`REFUSE_PERIOD`] at the drain time divided by this.
const REFUSE_DIVISOR: u32 = 4;

/// Queued requests may start until the drain time divided by this.
const QUEUE_DIVISOR: u32 = 2;

/// Time to send the last refusals after the drain time.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A running router.
#[derive(Debug)]
pub struct Router {
    core: Arc<Core>,
    address: SocketAddr,
    listener_task: JoinHandle<()>,
    links_task: JoinHandle<()>,
    operators: Api,
}

impl Router {
    /// Starts a router: joins the fleet, connects to sidecars, accepts callers.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if a port cannot be bound or the fleet cannot be joined.
    pub async fn spawn(settings: settings::Router, logger: Logger) -> Result<Self, Error> {
        let settings = Arc::new(settings);
        let fleet = Fleet::spawn(Arc::clone(&settings), logger.clone()).await;
        let fleet = fleet.map_err(Error::Fleet)?;
        let core = Arc::new(Core::new(settings, logger, fleet));
        core.fleet
            .set_local_requests(Arc::new(RouterRequests(Arc::clone(&core))));
        let listener = Listener::bind(&core).await?;
        let address = listener.address()?;
        let operators = operator_api::bind(&core).await?;
        let links_task = tokio::spawn(links::run(Arc::clone(&core)));
        let listener_task = tokio::spawn(listener.run());
        log!(core.logger, Event::Ready,
            "role" => "router", "callers" => address.to_string());
        Ok(Self {
            core,
            address,
            listener_task,
            links_task,
            operators,
        })
    }

    /// The bound address of the callers' port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bound address of the operators' port.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The bound address of the control port for other routers.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.core.fleet.control()
    }

    /// A handle for inspecting the router.
    #[must_use]
    pub fn inspect(&self) -> Inspector {
        Inspector::new(&self.core)
    }

    /// Stops gracefully: refuses new requests, lets queued requests start during the first
    /// part of the drain time, and lets responses complete until its end.
    pub async fn stop(self) {
        let core = self.core;
        let shutdown = &core.shutdown;
        let drain = Duration::from_millis(core.settings.drain_ms);
        let started_at = Instant::now();
        let deadline = started_at + drain;
        log!(core.logger, Event::Stopping, "running" => core.running_counts.total());
        shutdown.refuse.cancel();
        let refuse_period = REFUSE_PERIOD.min(drain / REFUSE_DIVISOR);
        sleep_until(started_at + refuse_period).await;
        let phases = [
            (&shutdown.close, started_at + drain / QUEUE_DIVISOR),
            (&shutdown.refuse_queued, deadline),
            (&shutdown.abandon, deadline + FLUSH_TIMEOUT),
        ];
        let mut listener_task = self.listener_task;
        let mut is_closed = false;
        for (phase, until) in phases {
            phase.cancel();
            is_closed = is_closed || timeout_at(until, &mut listener_task).await.is_ok();
        }
        shutdown.terminate.cancel();
        if !is_closed {
            // A panic in the task does not affect the shutdown.
            let _ = listener_task.await;
        }
        let _ = self.links_task.await;
        self.operators.stop().await;
        core.fleet.stop().await;
        log!(core.logger, Event::Stopped, "cut" => core.running_counts.total());
    }
}

/// Serves the fleet's queries about this router's requests.
#[derive(Debug)]
struct RouterRequests(Arc<Core>);

impl LocalRequests for RouterRequests {
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>> {
        Box::pin(outcome::local(&self.0, attempt))
    }

    fn keys(&self, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        self.0.sent_keys.for_peer(server, since)
    }
}
