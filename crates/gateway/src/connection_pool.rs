//! Pool of HTTP connections to a backend server.

mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use self::stream::Stream;
use crate::{clock, socket};

/// Connect timeout. Servers are milliseconds away, and callers time out their own connects after
/// one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time before the server's idle timeout at which a connection is no longer reused.
const IDLE_MARGIN_MS: u64 = 500;

/// Idle timeout of a server that doesn't state one, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// Maximum buffer size of a connection, in bytes. Response heads and single events fit.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// An open connection, closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it has carried a request.
    pub(crate) is_used: bool,
    /// Whether it carries no request now.
    is_idle: Arc<AtomicBool>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    /// In milliseconds of the boot clock: the server's idle timeout runs on while the VM is
    /// suspended.
    expires_ms: u64,
}

/// Connections to one server.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    opened: AtomicU32,
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
            opened: AtomicU32::new(0),
        }
    }

    /// Returns an idle connection, or opens one.
    pub(crate) async fn acquire(&self) -> io::Result<Connection> {
        if let Some(conn) = self.reuse() {
            return Ok(conn);
        }
        self.connect().await
    }

    fn reuse(&self) -> Option<Connection> {
        let now = clock::now_ms();
        let mut idle = self.idle.lock();
        idle.retain(|idle| idle.expires_ms > now && !idle.conn.sender.is_closed());
        let ready = idle.iter().rposition(|idle| idle.conn.sender.is_ready())?;
        let conn = idle.swap_remove(ready).conn;
        conn.is_idle.store(false, Ordering::Relaxed);
        Some(conn)
    }

    /// Opens a connection.
    pub(crate) async fn connect(&self) -> io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        socket::configure(&stream)?;
        let is_idle = Arc::new(AtomicBool::new(false));
        let stream = Stream::new(stream, Arc::clone(&is_idle));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("connections_opened_total").increment(1);
        // Connection errors surface in the requests.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            is_used: false,
            is_idle,
        })
    }

    /// Returns a connection to the pool after its response was read completely. `idle_ms` is the
    /// idle timeout stated by the server.
    pub(crate) fn release(&self, mut conn: Connection, idle_ms: Option<u64>) {
        if conn.sender.is_closed() {
            return;
        }
        conn.is_used = true;
        conn.is_idle.store(true, Ordering::Relaxed);
        let idle_ms = idle_ms
            .unwrap_or(DEFAULT_IDLE_MS)
            .saturating_sub(IDLE_MARGIN_MS);
        let expires_ms = clock::ms_from_now(idle_ms);
        self.idle.lock().push(Idle { conn, expires_ms });
    }

    pub(crate) fn close_idle(&self) {
        self.idle.lock().clear();
    }
}
