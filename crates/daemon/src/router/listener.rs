//! Listener for callers' connections.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::core::Core;
use super::error::Error;
use super::service;
use super::timeout_stream::TimeoutStream;

/// Largest HTTP/1.1 request head, in bytes; larger ones are answered 431.
const HEAD_BYTES: usize = 64 << 10;

/// Largest HTTP/2 request head, in bytes.
const HTTP2_HEAD_BYTES: u32 = 64 << 10;

/// Maximum number of concurrent streams per HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// HTTP/2 flow-control window per stream and per connection, in bytes.
const WINDOW_BYTES: u32 = 256 << 10;

/// Interval and timeout of HTTP/2 keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers' connections.
pub(crate) struct Listener {
    core: Arc<Core>,
    socket: TcpListener,
    connections: Arc<Semaphore>,
    shutdown: GracefulShutdown,
}

impl Listener {
    pub(crate) async fn bind(core: &Arc<Core>) -> Result<Self, Error> {
        let address = core.settings.callers;
        let socket = TcpListener::bind(address).await;
        let socket = socket.map_err(|source| Error::Bind { address, source })?;
        let max_connections = core.settings.limits.connections as usize;
        Ok(Self {
            core: Arc::clone(core),
            socket,
            connections: Arc::new(Semaphore::new(max_connections)),
            shutdown: GracefulShutdown::new(),
        })
    }

    /// The bound address.
    pub(crate) fn address(&self) -> Result<SocketAddr, Error> {
        let address = self.core.settings.callers;
        let local = self.socket.local_addr();
        local.map_err(|source| Error::Bind { address, source })
    }

    /// Accepts connections until the listener is closed, then drains the open ones.
    /// Connections beyond the limit stay in the listen backlog.
    pub(crate) async fn run(self) {
        let close = self.core.shutdown.close.clone();
        loop {
            let connections = Arc::clone(&self.connections);
            let permit = tokio::select! {
                () = close.cancelled() => break,
                permit = connections.acquire_owned() => permit,
            };
            let Ok(permit) = permit else {
                break;
            };
            let result = tokio::select! {
                () = close.cancelled() => break,
                result = self.socket.accept() => result,
            };
            match result {
                Ok((stream, _)) => self.serve(stream, permit),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        drop(self.socket);
        let terminate = self.core.shutdown.terminate.clone();
        tokio::select! {
            () = terminate.cancelled() => {}
            () = self.shutdown.shutdown() => {}
        }
    }

    fn serve(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        // A failure only adds latency.
        let _ = stream.set_nodelay(true);
        let [has_request, has_old_caller, is_reset] =
            [(); 3].map(|()| Arc::new(AtomicBool::new(false)));
        let service = {
            let core = Arc::clone(&self.core);
            let has_request = Arc::clone(&has_request);
            let has_old_caller = Arc::clone(&has_old_caller);
            service_fn(move |request: Request<Incoming>| {
                has_request.store(true, Ordering::Relaxed);
                // Without chunks only a reset tells that a response is incomplete.
                if request.version() < Version::HTTP_11 {
                    has_old_caller.store(true, Ordering::Relaxed);
                }
                service::serve(Arc::clone(&core), request)
            })
        };
        let head_timeout = Duration::from_millis(self.core.settings.limits.head_ms);
        let builder = builder(head_timeout);
        let stall_timeout = Duration::from_millis(self.core.settings.limits.stall_ms);
        let stream = TimeoutStream::new(stream, stall_timeout, Arc::clone(&is_reset));
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = self.shutdown.watch(connection.into_owned());
        let terminate = self.core.shutdown.terminate.clone();
        tokio::spawn(async move {
            let mut connection = pin!(connection);
            let is_complete = tokio::select! {
                // Connection errors are reported by the requests on it.
                result = &mut connection => result.is_ok(),
                () = idle_timeout(&has_request, head_timeout) => false,
                () = terminate.cancelled() => false,
            };
            let is_unmarked = !is_complete && has_old_caller.load(Ordering::Relaxed);
            is_reset.store(is_unmarked, Ordering::Relaxed);
            drop(permit);
        });
    }
}

/// Resolves if no request arrives in time. hyper's own header timeout starts only
/// after it has detected the protocol version.
async fn idle_timeout(has_request: &AtomicBool, head_timeout: Duration) {
    tokio::time::sleep(head_timeout + head_timeout / 2).await;
    if has_request.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

fn builder(head_timeout: Duration) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(HTTP2_HEAD_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL);
    builder
}
