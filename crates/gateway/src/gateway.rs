//! Start, reload and shutdown of a gateway.

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

use crate::buffers::{self, Buffers};
use crate::core::Core;
use crate::error::Error;
use crate::exchange::{self, Exchange};
use crate::mirror::Mirror;
use crate::outages::Outages;
use crate::overload::Overload;
use crate::protocol::Protocol;
use crate::quarantine::Quarantine;
use crate::registry::Registry;
use crate::retry_budgets::RetryBudgets;
use crate::shutdown::Shutdown;
use crate::streams::{self, Streams};
use crate::view::View;
use crate::waiting::{self, Waiting};
use crate::{control, follow, listen, memory, overload, readiness, socket};

/// Time after the start of a shutdown in which requests are still accepted: the balancer keeps
/// sending callers until two readiness probes, a second apart, have failed.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time after [`DRAIN`] in which connections are still accepted and their requests refused.
const REFUSE: Duration = Duration::from_secs(1);

/// Time before the end of the process in which requests without an answer get a refusal.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// Part of the grace period reserved for terminating the process, in milliseconds.
const TERMINATION_MS: u64 = 700;

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    core: Arc<Core>,
}

impl Gateway {
    /// Starts a gateway. Requests are refused until a configuration has been loaded.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] if it cannot listen on one of its addresses.
    pub async fn spawn(
        settings: settings::Gateway,
        protocol: Arc<dyn Protocol>,
        feed: Arc<dyn Feed>,
        logger: Logger,
    ) -> Result<Self, Error> {
        readiness::install_metrics();
        let callers = bind(settings.callers).await?;
        let health = bind(settings.health).await?;
        let control = bind(settings.control).await?;
        // An answer that a peer does not take ends with its connection.
        let address = settings.control;
        socket::configure(&control).map_err(|source| Error::Bind { address, source })?;
        let handoff = match settings.handoff {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        let exchange_socket = UdpSocket::bind(address).await;
        let exchange_socket = exchange_socket.map_err(|source| Error::Bind { address, source })?;
        let exchange_socket = Arc::new(exchange_socket);
        let placement = Placement::new(&settings.zone, settings.processors);
        let exchange = Exchange::new(&settings.name, placement);
        let registry = Registry::new(&settings.name);
        let buffers = Arc::new(Buffers::new(logger.clone(), settings.memory_mb));
        let mirror = Mirror::new(logger.clone(), settings.memory_mb);
        let core = Arc::new(Core {
            retry_budgets: RetryBudgets::default(),
            settings: ArcSwap::from_pointee(settings),
            protocol,
            feed,
            logger,
            view: View::default(),
            registry,
            mirror,
            memory: memory::Guard::default(),
            exchange,
            outages: Outages::default(),
            unreadable_log: Mutex::default(),
            waiting: Waiting::default(),
            shares: Mutex::default(),
            quarantine: Quarantine::new(),
            streams: Streams::new(&exchange_socket),
            connections: AtomicU32::new(0),
            overload: Overload::default(),
            buffers,
            handoffs: TaskTracker::new(),
            shutdown: Shutdown::default(),
        });
        let (ratio, slack) = {
            let settings = core.settings.load();
            (settings.retry_ratio, settings.retry_slack)
        };
        core.retry_budgets.set_limits(ratio, slack, 1);
        tokio::spawn(exchange::register(Arc::clone(&core)));
        tokio::spawn(overload::monitor(Arc::clone(&core)));
        tokio::spawn(buffers::monitor(Arc::clone(&core)));
        tokio::spawn(readiness::maintain_metrics(Arc::clone(&core)));
        tokio::spawn(exchange::run(Arc::clone(&core), exchange_socket));
        tokio::spawn(waiting::run(Arc::clone(&core)));
        tokio::spawn(follow::run(Arc::clone(&core)));
        tokio::spawn(streams::archive::run(Arc::clone(&core)));
        tokio::spawn(readiness::serve(
            Arc::clone(&core),
            health,
            readiness::handle,
        ));
        tokio::spawn(readiness::serve(
            Arc::clone(&core),
            control,
            control::handle,
        ));
        tokio::spawn(listen::serve(Arc::clone(&core), callers, handoff));
        log!(core.logger, Event::Ready, "role" => "gateway");
        Ok(Self { core })
    }

    /// Applies changed settings. Names and addresses take effect at the next start.
    pub fn reload(&self, settings: settings::Gateway) {
        let core = &self.core;
        let previous = core.settings.load_full();
        let needs_restart = previous.identity() != settings.identity();
        log!(core.logger, Event::Reloaded, "needs_restart" => needs_restart);
        let settings = settings.with_identity_of(&previous);
        core.buffers.set_memory(settings.memory_mb);
        core.mirror.set_memory(settings.memory_mb);
        core.settings.store(Arc::new(settings));
    }

    /// Records the resident memory of the process, in bytes, so that the gateway gives up what it
    /// can, and refuses new requests, before it exceeds its memory.
    pub fn record_resident(&self, bytes: u64) {
        self.core.memory.record(&self.core, bytes);
    }

    /// Shuts down gracefully: fails readiness probes, then refuses requests, and terminates once
    /// running requests have completed or the grace period is over.
    pub async fn stop(self) {
        let shutdown = &self.core.shutdown;
        log!(self.core.logger, Event::Stopping);
        shutdown.drain.cancel();
        let grace = Duration::from_millis(
            self.core
                .settings
                .load()
                .grace_ms
                .saturating_sub(TERMINATION_MS),
        );
        let graceful = async {
            sleep(DRAIN).await;
            shutdown.refuse.cancel();
            sleep(REFUSE).await;
            shutdown.close.cancel();
            shutdown.terminate.cancelled().await;
        };
        tokio::select! {
            () = graceful => {}
            () = async {
                sleep(grace.saturating_sub(LAST_ANSWERS)).await;
                shutdown.answer.cancel();
                sleep(LAST_ANSWERS).await;
            } => shutdown.terminate.cancel(),
        }
        log!(self.core.logger, Event::Stopped);
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Bind { address, source })
}
