//! The port itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use mulberryyoke_platform::kv::Kv;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::access::Access;
use super::error::Error;
use super::execute::Execute;
use super::respond::Respond;
use super::router_state::RouterState;
use super::store::Store;
use crate::metric;

/// Longest time a client may take to send its head.
const HEAD: Duration = Duration::from_secs(5);

/// Longest time that a stop waits for requests in progress.
const STOP: Duration = Duration::from_secs(10);

/// Pause after a failed accept, for example with no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the port is made of.
pub struct Options {
    /// Where to listen.
    pub address: SocketAddr,
    /// Who may give commands.
    pub operators: Vec<mulberryyoke_settings::Operator>,
    /// Prefix of the key-value service's keys.
    pub prefix: String,
    /// How long idempotency keys are remembered, in milliseconds.
    pub retention_ms: u64,
    /// The key-value service.
    pub kv: Arc<dyn Kv>,
    /// The router.
    pub router: Arc<dyn RouterState>,
    /// The log.
    pub logger: Logger,
}

/// The running operators' port.
#[derive(Debug)]
pub struct Api {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Api {
    /// Binds the port and serves it.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] when the address is taken or not ours.
    pub async fn bind(options: Options) -> Result<Self, Error> {
        metric::install();
        let address = options.address;
        let bind = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let store = Store::new(options.kv, &options.prefix);
        let respond = Arc::new(Respond {
            access: Access::new(&options.operators),
            execute: Execute::new(store, Arc::clone(&options.router), options.retention_ms),
            source: options.router,
            logger: options.logger,
        });
        let stop = CancellationToken::new();
        let task = tokio::spawn(serve(listener, respond, stop.clone()));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection and waits for requests in progress to end.
    pub async fn stop(self) {
        self.stop.cancel();
        // A task that panicked has ended as well.
        let _ = self.task.await;
    }
}

async fn serve(listener: TcpListener, respond: Arc<Respond>, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => spawn(stream, peer, &respond, &graceful),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            () = stop.cancelled() => break,
        }
    }
    drop(listener);
    // Requests that outlast the bound are cut off.
    let _ = tokio::time::timeout(STOP, graceful.shutdown()).await;
}

fn spawn(stream: TcpStream, peer: SocketAddr, respond: &Arc<Respond>, graceful: &GracefulShutdown) {
    let respond = Arc::clone(respond);
    let service = service_fn(move |request| {
        let respond = Arc::clone(&respond);
        async move { respond.respond(request, peer).await }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        // A broken connection concerns its client only.
        let _ = connection.await;
    });
}
