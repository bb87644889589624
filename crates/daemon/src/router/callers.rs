//! The callers' port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::core::Core;
use super::error::Error;
use super::paced::Paced;
use super::service;

/// Largest head of a request over HTTP/1.1, in bytes; more is answered 431.
const HEAD_BYTES: usize = 64 << 10;

/// Largest head of a request over HTTP/2, in bytes.
const HEAD2_BYTES: u32 = 64 << 10;

/// Requests at once on one HTTP/2 connection.
const STREAMS: u32 = 256;

/// Bytes that a caller may send ahead on one HTTP/2 connection.
const WINDOW: u32 = 256 << 10;

/// Time between pings on HTTP/2 connections, and longest time for their answer.
const PING: Duration = Duration::from_secs(20);

/// Pause after a failure to accept, for example for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The bound port.
pub(crate) struct Port {
    core: Arc<Core>,
    listener: TcpListener,
    connections: Arc<Semaphore>,
    shutdown: GracefulShutdown,
}

impl Port {
    pub(crate) async fn bind(core: &Arc<Core>) -> Result<Self, Error> {
        let address = core.settings.callers;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| Error::Callers { address, source })?;
        let most = core.settings.limits.connections as usize;
        Ok(Self {
            core: Arc::clone(core),
            listener,
            connections: Arc::new(Semaphore::new(most)),
            shutdown: GracefulShutdown::new(),
        })
    }

    /// The bound address.
    pub(crate) fn address(&self) -> Result<SocketAddr, Error> {
        let address = self.core.settings.callers;
        let local = self.listener.local_addr();
        local.map_err(|source| Error::Callers { address, source })
    }

    /// Takes connections until the port is closed, then lets the open
    /// ones end. Beyond the bound, connections wait to be accepted.
    pub(crate) async fn run(self) {
        let close = self.core.stop.close.clone();
        loop {
            let connections = Arc::clone(&self.connections);
            let permit = tokio::select! {
                () = close.cancelled() => break,
                permit = connections.acquire_owned() => permit,
            };
            let Ok(permit) = permit else {
                break;
            };
            let accepted = tokio::select! {
                () = close.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream, permit),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        drop(self.listener);
        let end = self.core.stop.end.clone();
        tokio::select! {
            () = end.cancelled() => {}
            () = self.shutdown.shutdown() => {}
        }
    }

    fn serve(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        // Without it answers are only slower.
        let _ = stream.set_nodelay(true);
        let asked = Arc::new(AtomicBool::new(false));
        let service = {
            let core = Arc::clone(&self.core);
            let asked = Arc::clone(&asked);
            service_fn(move |request| {
                asked.store(true, Ordering::Relaxed);
                service::serve(Arc::clone(&core), request)
            })
        };
        let head = Duration::from_millis(self.core.settings.limits.head_ms);
        let builder = builder(head);
        let stall = Duration::from_millis(self.core.settings.limits.stall_ms);
        let stream = Paced::new(stream, stall);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = self.shutdown.watch(connection.into_owned());
        let end = self.core.stop.end.clone();
        tokio::spawn(async move {
            tokio::select! {
                // How a connection fails is seen in its requests.
                _ = connection => {}
                () = silent(&asked, head) => {}
                () = end.cancelled() => {}
            }
            drop(permit);
        });
    }
}

/// Resolves if nothing was asked in time; hyper itself bounds a head's time only
/// once it has seen the protocol's version.
async fn silent(asked: &AtomicBool, head: Duration) {
    tokio::time::sleep(head + head / 2).await;
    if asked.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

fn builder(head: Duration) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(head)
        .max_buf_size(HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS)
        .initial_stream_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .max_header_list_size(HEAD2_BYTES)
        .keep_alive_interval(PING)
        .keep_alive_timeout(PING);
    builder
}
