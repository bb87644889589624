//! The connection to a sidecar's data port.

use std::net::SocketAddr;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::Error;

/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW: u32 = 64 << 10;

/// Number of stalled streams whose windows fit into the connection window, so that slow
/// callers do not block other responses.
const STALLED_STREAMS: u32 = 256;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Keep-alive intervals without a response after which a connection is closed.
const KEEP_ALIVE_TIMEOUT_INTERVALS: u32 = 10;

type Sender = SendRequest<Full<Bytes>>;

/// An HTTP/2 connection that is re-established when it is lost.
#[derive(Debug)]
pub(crate) struct DataConnection {
    address: SocketAddr,
    heartbeat: Duration,
    sender: ArcSwapOption<Sender>,
    connecting: Mutex<()>,
}

impl DataConnection {
    pub(super) fn new(address: SocketAddr, heartbeat: Duration) -> Self {
        Self {
            address,
            heartbeat,
            sender: ArcSwapOption::empty(),
            connecting: Mutex::new(()),
        }
    }

    /// Returns the connection, establishing it if necessary.
    pub(crate) async fn sender(&self) -> Result<Sender, Error> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let _connecting = self.connecting.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let connected = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let sender = connected.map_err(|_| Error::Timeout)??;
        self.sender.store(Some(sender.clone().into()));
        Ok(sender)
    }

    /// Drops the connection's sender. Responses in progress are not affected.
    pub(super) fn reset(&self) {
        self.sender.store(None);
    }

    fn open_sender(&self) -> Option<Sender> {
        let sender = self.sender.load();
        let sender = sender.as_ref()?;
        (!sender.is_closed()).then(|| sender.as_ref().clone())
    }

    async fn connect(&self) -> Result<Sender, Error> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let (sender, connection) = Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(STREAM_WINDOW * STALLED_STREAMS)
            .keep_alive_interval(self.heartbeat)
            .keep_alive_timeout(self.heartbeat * KEEP_ALIVE_TIMEOUT_INTERVALS)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(Error::Handshake)?;
        // Errors surface through the sender and the pending responses.
        tokio::spawn(connection);
        Ok(sender)
    }
}
