//! Connections to a backend server.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::{clock, socket};

/// Longest time to open a connection: servers are milliseconds away, and a caller
/// gives its connections one second.
const CONNECT: Duration = Duration::from_millis(300);

/// Time before the server's own idle limit at which a connection is no longer used.
const MARGIN_MS: u64 = 500;

/// Idle limit of a server that tells none, in milliseconds.
const USUAL_IDLE_MS: u64 = 4_000;

/// Largest buffer of a connection, in bytes: heads of answers and single events fit.
const BUFFER_BYTES: usize = 16 << 10;

/// An open connection. Dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether it has carried a request before.
    pub(crate) is_used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    /// In milliseconds of the boot clock: a server closes it while the machine is suspended.
    until_ms: u64,
}

/// The connections of one server.
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

    /// A connection that was used before, if one is idle, else a new one.
    pub(crate) async fn acquire(&self) -> io::Result<Connection> {
        if let Some(conn) = self.reuse() {
            return Ok(conn);
        }
        self.connect().await
    }

    fn reuse(&self) -> Option<Connection> {
        let now = clock::now_ms();
        let mut idle = self.idle.lock();
        idle.retain(|idle| idle.until_ms > now && !idle.conn.sender.is_closed());
        let ready = idle.iter().rposition(|idle| idle.conn.sender.is_ready())?;
        Some(idle.swap_remove(ready).conn)
    }

    /// Opens a new connection.
    pub(crate) async fn connect(&self) -> io::Result<Connection> {
        let stream = timeout(CONNECT, TcpStream::connect(self.address)).await??;
        socket::configure(&stream)?;
        let shaken = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = shaken.map_err(io::Error::other)?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("connections_opened_total").increment(1);
        // How a connection fails is seen in its requests.
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            is_used: false,
        })
    }

    /// Keeps a connection whose answer was read whole. `idle_ms` is what the server tells.
    pub(crate) fn release(&self, mut conn: Connection, idle_ms: Option<u64>) {
        if conn.sender.is_closed() {
            return;
        }
        conn.is_used = true;
        let idle_ms = idle_ms.unwrap_or(USUAL_IDLE_MS).saturating_sub(MARGIN_MS);
        let until_ms = clock::now_ms() + idle_ms;
        self.idle.lock().push(Idle { conn, until_ms });
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle.lock().clear();
    }
}
