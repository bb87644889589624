//! TCP relay that injects network faults between two processes.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// A running relay to one address. Dropping it closes the listener.
#[derive(Debug)]
pub struct Relay {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Closes the connections; stays cancelled while the relay is blocked.
    connections: Arc<Mutex<CancellationToken>>,
    mode: watch::Sender<Mode>,
    cut: Arc<Cut>,
    _listener: DropGuard,
}

/// Number of bytes from the target after which one connection is closed.
#[derive(Debug)]
struct Cut(AtomicUsize);

impl Default for Cut {
    fn default() -> Self {
        Self(AtomicUsize::new(usize::MAX))
    }
}

impl Cut {
    /// Returns how many of these bytes are forwarded before the connection is closed, which happens
    /// once; `None` if it stays open.
    fn take(&self, bytes: usize) -> Option<usize> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return None;
        }
        let is_cut = bytes >= left;
        let next = if is_cut { usize::MAX } else { left - bytes };
        self.0.store(next, Ordering::Relaxed);
        is_cut.then_some(left)
    }
}

/// Handling of data on all connections, in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Reads and forwards data.
    Forward,
    /// Reads data and buffers it.
    Buffer,
    /// Neither reads nor forwards data.
    Stop,
    /// Forwards buffered data and reads no more.
    Flush,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Mutex::new(CancellationToken::new()));
        let mode = watch::Sender::new(Mode::Forward);
        let cut = Arc::new(Cut::default());
        let stop = CancellationToken::new();
        let shared = (mode.clone(), Arc::clone(&cut));
        let accept = accept(listener, target, Arc::clone(&connections), shared);
        tokio::spawn(stop.clone().run_until_cancelled_owned(accept));
        Ok(Self {
            address,
            connections,
            mode,
            cut,
            _listener: stop.drop_guard(),
        })
    }

    /// Closes all connections, and new ones as soon as they are accepted.
    pub fn block(&self) {
        self.connections.lock().cancel();
    }

    /// Relays new connections again.
    pub fn unblock(&self) {
        let mut connections = self.connections.lock();
        if connections.is_cancelled() {
            *connections = CancellationToken::new();
        }
    }

    /// Closes one connection after so many more bytes from the target, at least one.
    pub fn cut_after(&self, bytes: usize) {
        self.cut.0.store(bytes.max(1), Ordering::Relaxed);
    }

    /// Buffers data instead of forwarding it. The connections stay open.
    pub fn buffer(&self) {
        self.mode.send_replace(Mode::Buffer);
    }

    /// Stops reading and forwarding data. Buffered data is kept.
    pub fn stop_reading(&self) {
        self.mode.send_replace(Mode::Stop);
    }

    /// Forwards buffered data without reading more.
    pub fn flush(&self) {
        self.mode.send_replace(Mode::Flush);
    }

    /// Forwards buffered and new data.
    pub fn resume(&self) {
        self.mode.send_replace(Mode::Forward);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    connections: Arc<Mutex<CancellationToken>>,
    (mode, cut): (watch::Sender<Mode>, Arc<Cut>),
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let cancellation = connections.lock().clone();
        let relay = relay(client, target, mode.subscribe(), Arc::clone(&cut));
        tokio::spawn(cancellation.run_until_cancelled_owned(relay));
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    cut: Arc<Cut>,
) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = copy(client_read, server_write, mode.clone(), None);
    let responses = copy(server_read, client_write, mode, Some(&cut));
    tokio::try_join!(requests, responses)?;
    Ok(())
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    cut: Option<&Cut>,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    let mut is_eof = false;
    loop {
        let current = *mode.borrow_and_update();
        if matches!(current, Mode::Forward | Mode::Flush) {
            if let Some(bytes) = cut.and_then(|cut| cut.take(buffer.len())) {
                to.write_all(&buffer[..bytes]).await?;
                to.shutdown().await?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            to.write_all_buf(&mut buffer).await?;
        }
        if is_eof && current == Mode::Forward {
            return to.shutdown().await;
        }
        let can_read = !is_eof && matches!(current, Mode::Forward | Mode::Buffer);
        tokio::select! {
            read = from.read_buf(&mut buffer), if can_read => is_eof = read? == 0,
            // Fails only once the relay and its listener are dropped.
            Ok(()) = mode.changed() => {}
        }
    }
}
