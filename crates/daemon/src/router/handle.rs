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
use super::inspect::Inspect;
use super::{links, operators, outcome};
use crate::fleet::{Fleet, LocalRequests};
use crate::operator::Api;

/// How long open connections stay open for requests that are on their way, only
/// to be refused.
const LINGER: Duration = Duration::from_secs(2);

/// Most of the time for a planned stop that goes for that: one part in this many.
const LINGER_PART: u32 = 4;

/// Part of the time for a planned stop in which waiting requests may still start.
const WAITING_PART: u32 = 2;

/// Time to write out the last refusals after the deadline.
const FLUSH: Duration = Duration::from_secs(1);

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
    /// Starts a router: joins the fleet, connects to sidecars, takes callers.
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
            .set_local_requests(Arc::new(Answers(Arc::clone(&core))));
        let port = Port::bind(&core).await?;
        let address = port.address()?;
        let operators = operators::bind(&core).await?;
        let links = tokio::spawn(links::keep(Arc::clone(&core)));
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

    /// A handle for operators' questions.
    #[must_use]
    pub fn inspect(&self) -> Inspect {
        Inspect::new(&self.core)
    }

    /// Stops: refuses new requests, lets waiting ones start for a part of the
    /// time allowed and running answers end until it is over.
    pub async fn stop(self) {
        let core = self.core;
        let stop = &core.stop;
        let drain = Duration::from_millis(core.settings.drain_ms);
        let began = Instant::now();
        let deadline = began + drain;
        log!(core.logger, Event::Stopping, "running" => core.counts.total());
        stop.refuse.cancel();
        let linger = LINGER.min(drain / LINGER_PART);
        sleep_until(began + linger).await;
        let steps = [
            (&stop.close, began + drain / WAITING_PART),
            (&stop.clear, deadline),
            (&stop.cut, deadline + FLUSH),
        ];
        let mut callers = self.callers;
        let mut ended = false;
        for (step, until) in steps {
            step.cancel();
            ended = ended || timeout_at(until, &mut callers).await.is_ok();
        }
        stop.end.cancel();
        if !ended {
            // It ends at once now; a panic in it changes nothing here.
            let _ = callers.await;
        }
        let _ = self.links.await;
        self.operators.stop().await;
        core.fleet.stop().await;
        log!(core.logger, Event::Stopped, "cut" => core.counts.total());
    }
}

/// Answers about this router's requests.
#[derive(Debug)]
struct Answers(Arc<Core>);

impl LocalRequests for Answers {
    fn outcome(&self, attempt: Attempt) -> Pin<Box<dyn Future<Output = Outcome> + Send + '_>> {
        Box::pin(outcome::own(&self.0, attempt))
    }

    fn keys(&self, server: ServerId, since: Millis) -> (Millis, Vec<KeyId>) {
        self.0.keys.since(server, since)
    }
}
