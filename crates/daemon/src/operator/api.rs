//! HTTP server of the operator API.

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
use super::executor::Executor;
use super::handler::Handler;
use super::router_state::RouterState;
use super::store::Store;
use crate::metric;

/// Timeout for reading the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a shutdown waits for requests in progress.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Settings and dependencies of the operator API.
pub struct Options {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Operators that may send commands.
    pub operators: Vec<mulberryyoke_settings::Operator>,
    /// Key prefix in the key-value service.
    pub prefix: String,
    /// Retention time of idempotency keys, in milliseconds.
    pub retention_ms: u64,
    /// Key-value service.
    pub kv: Arc<dyn Kv>,
    /// Router that the API reports on.
    pub router: Arc<dyn RouterState>,
    /// Logger for denied and executed commands.
    pub logger: Logger,
}

/// Running server of the operator API.
#[derive(Debug)]
pub struct Api {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Api {
    /// Binds the address and starts serving requests.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the address cannot be bound.
    pub async fn bind(options: Options) -> Result<Self, Error> {
        metric::install();
        let address = options.address;
        let bind = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let store = Store::new(options.kv, &options.prefix);
        let handler = Arc::new(Handler {
            access: Access::new(&options.operators),
            executor: Executor::new(store, Arc::clone(&options.router), options.retention_ms),
            router: options.router,
            logger: options.logger,
        });
        let stop = CancellationToken::new();
        let task = tokio::spawn(serve(listener, handler, stop.clone()));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for requests in progress.
    pub async fn stop(self) {
        self.stop.cancel();
        // A panicked task has stopped as well.
        let _ = self.task.await;
    }
}

async fn serve(listener: TcpListener, handler: Arc<Handler>, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => spawn(stream, peer, &handler, &graceful),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = stop.cancelled() => break,
        }
    }
    drop(listener);
    // Requests still in progress after the timeout are aborted.
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, graceful.shutdown()).await;
}

fn spawn(stream: TcpStream, peer: SocketAddr, handler: &Arc<Handler>, graceful: &GracefulShutdown) {
    let handler = Arc::clone(handler);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request, peer).await }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        // A connection error affects only its client.
        let _ = connection.await;
    });
}
