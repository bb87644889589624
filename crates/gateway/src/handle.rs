//! A running gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use arc_swap::ArcSwap;
use mulberryyoke_decide::aggregate::Placement;
use mulberryyoke_event::slog::Logger;
use mulberryyoke_event::{Event, log};
use mulberryyoke_platform::kv::Feed;
use mulberryyoke_settings as settings;
use parking_lot::Mutex;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use crate::core::Core;
use crate::error::Error;
use crate::exchange::{self, Exchange};
use crate::mirror::Mirror;
use crate::protocol::Protocol;
use crate::quarantine::Quarantine;
use crate::registry::Registry;
use crate::retry_budgets::RetryBudgets;
use crate::shutdown::Shutdown;
use crate::strain::Strain;
use crate::view::View;
use crate::{control, follow, listen, ready, strain};

/// Time after the node said that it leaves in which requests are still taken:
/// callers are sent to it until two questions for readiness, a second apart, have
/// failed. Later ones could not end in time.
const TAKE: Duration = Duration::from_millis(2_500);

/// Time after that in which connections are still accepted, to refuse what comes on them.
const ACCEPT: Duration = Duration::from_secs(1);

/// Time kept of a planned stop for ending the process.
const END_MS: u64 = 700;

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    core: Arc<Core>,
}

impl Gateway {
    /// Starts a gateway. It answers nothing before it knows a configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] when a port cannot be had.
    pub async fn spawn(
        settings: settings::Gateway,
        protocol: Arc<dyn Protocol>,
        feed: Arc<dyn Feed>,
        logger: Logger,
    ) -> Result<Self, Error> {
        ready::install();
        let callers = bind(settings.callers).await?;
        let health = bind(settings.health).await?;
        let control = bind(settings.control).await?;
        let handoff = match settings.handoff {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        let address = settings.control;
        let beats = UdpSocket::bind(address).await;
        let beats = beats.map_err(|source| Error::Bind { address, source })?;
        let place = Placement::new(&settings.zone, settings.processors);
        let exchange = Exchange::new(&settings.name, place);
        let registry = Registry::new(&settings.name);
        let core = Arc::new(Core {
            retry_budgets: RetryBudgets::default(),
            settings: ArcSwap::from_pointee(settings),
            protocol,
            feed,
            logger,
            view: View::default(),
            registry,
            mirror: Mirror::new(),
            exchange,
            shares: Mutex::default(),
            quarantine: Quarantine::new(),
            connections: AtomicU32::new(0),
            strain: Strain::default(),
            handed_on: TaskTracker::new(),
            shutdown: Shutdown::default(),
        });
        let (ratio, slack) = {
            let settings = core.settings.load();
            (settings.retry_ratio, settings.retry_slack)
        };
        core.retry_budgets.set_limits(ratio, slack, 1);
        tokio::spawn(exchange::announce(Arc::clone(&core)));
        tokio::spawn(strain::measure(Arc::clone(&core)));
        tokio::spawn(exchange::run(Arc::clone(&core), beats));
        tokio::spawn(follow::run(Arc::clone(&core)));
        tokio::spawn(ready::serve(Arc::clone(&core), health, ready::answer));
        tokio::spawn(ready::serve(Arc::clone(&core), control, control::answer));
        tokio::spawn(listen::serve(Arc::clone(&core), callers, handoff));
        log!(core.logger, Event::Ready, "role" => "gateway");
        Ok(Self { core })
    }

    /// Puts changed settings in force. Names and addresses stay as they were until
    /// the next start.
    pub fn reload(&self, settings: settings::Gateway) {
        let core = &self.core;
        let before = core.settings.load_full();
        let needs_restart = before.identity() != settings.identity();
        log!(core.logger, Event::Reloaded, "needs_restart" => needs_restart);
        let settings = settings.with_identity_of(&before);
        core.settings.store(Arc::new(settings));
    }

    /// Stops as planned: callers are sent elsewhere, requests that run are
    /// answered as long as there is time.
    pub async fn stop(self) {
        let shutdown = &self.core.shutdown;
        log!(self.core.logger, Event::Stopping);
        shutdown.drain.cancel();
        let grace =
            Duration::from_millis(self.core.settings.load().grace_ms.saturating_sub(END_MS));
        let closing = async {
            sleep(TAKE).await;
            shutdown.refuse.cancel();
            sleep(ACCEPT).await;
            shutdown.close.cancel();
            shutdown.terminate.cancelled().await;
        };
        tokio::select! {
            () = closing => {}
            () = sleep(grace) => shutdown.terminate.cancel(),
        }
        log!(self.core.logger, Event::Stopped);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Bind { address, source })
}
