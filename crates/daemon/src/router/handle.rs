//! The running router.

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

use super::callers::Port;
use super::core::Core;
use super::error::Error;
use super::inspect::Inspector;
use super::{links, operator_api, outcome};
use crate::fleet::{Fleet, LocalRequests};
use crate::operator::Api;

/// How long to refuse requests on open connections before closing the listener.
const LINGER: Duration = Duration::from_secs(2);

/// Caps [`LINGER`] at the drain time divided by this.
const LINGER_DIVISOR: u32 = 4;

/// Queued requests may start until the drain time divided by this.
const WAITING_DIVISOR: u32 = 2;

/// Time to flush the last refusals after the deadline.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// A running router.
#[derive(Debug)]
pub struct Router {
    core: Arc<Core>,
    address: SocketAddr,
    callers: JoinHandle<()>,
    links: JoinHandle<()>,
    operators: Api,
}

impl Router {
    /// Starts a router: joins the fleet, connects to sidecars, accepts callers.
    ///
    /// # Errors
    ///
    /// A port is taken, or the fleet could not be joined.
    pub async fn spawn(settings: settings::Router, logger: Logger) -> Result<Self, Error> {
        let settings = Arc::new(settings);
        let fleet = Fleet::spawn(Arc::clone(&settings), logger.clone()).await;
        let fleet = fleet.map_err(Error::Fleet)?;
        let core = Arc::new(Core::new(settings, logger, fleet));
        core.fleet
            .set_local_requests(Arc::new(OwnRequests(Arc::clone(&core))));
        let port = Port::bind(&core).await?;
        let address = port.address()?;
        let operators = operator_api::bind(&core).await?;
        let links = tokio::spawn(links::run(Arc::clone(&core)));
        let callers = tokio::spawn(port.run());
        log!(core.logger, Event::Ready,
            "role" => "router", "callers" => address.to_string());
        Ok(Self {
            core,
            address,
            callers,
            links,
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

    /// Stops gracefully: refuses new requests, lets queued ones start during the first
    /// part of the drain time, and running answers finish until its end.
    pub async fn stop(self) {
        let core = self.core;
        let stop = &core.stop;
        let drain = Duration::from_millis(core.settings.drain_ms);
        let began = Instant::now();
        let deadline = began + drain;
        log!(core.logger, Event::Stopping, "running" => core.running_counts.total());
        stop.refuse.cancel();
        let linger = LINGER.min(drain / LINGER_DIVISOR);
        sleep_until(began + linger).await;
        let steps = [
            (&stop.close, began + drain / WAITING_DIVISOR),
            (&stop.clear, deadline),
            (&stop.cut, deadline + FLUSH_TIMEOUT),
        ];
        let mut callers = self.callers;
        let mut ended = false;
        for (step, until) in steps {
            step.cancel();
            ended = ended || timeout_at(until, &mut callers).await.is_ok();
        }
        stop.end.cancel();
        if !ended {
            // A panic in the task does not affect the shutdown.
            let _ = callers.await;
        }
        let _ = self.links.await;
        self.operators.stop().await;
        core.fleet.stop().await;
        log!(core.logger, Event::Stopped, "cut" => core.running_counts.total());
    }
}

/// Answers the fleet's queries about this router's requests.
#[derive(Debug)]
struct OwnRequests(Arc<Core>);

impl LocalRequests for OwnRequests {
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>> {
        Box::pin(outcome::own(&self.0, attempt))
    }

    fn keys(&self, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        self.0.sent_keys.for_peer(server, since)
    }
}
