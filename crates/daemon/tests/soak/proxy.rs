//! A loopback proxy with injectable network faults.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// How a proxy handles the data of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Forward,
    /// Delays all data by this number of milliseconds.
    Delay(u64),
    /// Holds back all data until the mode changes.
    Stall,
    /// Forwards requests and holds back responses until the mode changes.
    StallResponses,
    /// Forwards requests and closes the connection on a response.
    CloseOnResponse,
    /// Closes all connections, including new ones.
    Reset,
    /// Closes all connections and refuses new ones, as if no process listened.
    Refuse,
}

/// A running proxy.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy that forwards to the address `upstream`.
    pub(crate) async fn spawn(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let (mode, modes) = watch::channel(Mode::Forward);
        tokio::spawn(listen(listener, address, upstream, modes));
        Self { address, mode }
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections, except in the mode [`Mode::Refuse`].
async fn listen(
    mut listener: TcpListener,
    address: SocketAddr,
    upstream: SocketAddr,
    mut modes: watch::Receiver<Mode>,
) {
    loop {
        let until = modes.clone();
        accept(&listener, upstream, until).await;
        drop(listener);
        // An error means that the run has ended.
        if modes.wait_for(|mode| *mode != Mode::Refuse).await.is_err() {
            return;
        }
        listener = TcpListener::bind(address).await.expect("its port");
    }
}

/// Accepts connections until the mode is [`Mode::Refuse`].
async fn accept(listener: &TcpListener, upstream: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let forwarded = modes.clone();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                tokio::spawn(forward(stream, upstream, forwarded.clone()));
            }
            Ok(_) = modes.wait_for(|mode| *mode == Mode::Refuse) => return,
            else => return,
        }
    }
}

async fn forward(downstream: TcpStream, upstream: SocketAddr, mut modes: watch::Receiver<Mode>) {
    // An error means that the run has ended.
    let _ = modes.wait_for(|mode| *mode != Mode::Stall).await;
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut resets = modes.clone();
    tokio::select! {
        () = copy(downstream_read, upstream_write, modes.clone(), false) => {}
        () = copy(upstream_read, downstream_write, modes, true) => {}
        _ = resets.wait_for(|mode| matches!(mode, Mode::Reset | Mode::Refuse)) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    is_response: bool,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let Ok(read) = from.read(&mut bytes).await else {
            return;
        };
        let is_stalled =
            |mode: &Mode| *mode == Mode::Stall || (is_response && *mode == Mode::StallResponses);
        if modes.wait_for(|mode| !is_stalled(mode)).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if is_response && mode == Mode::CloseOnResponse {
            return;
        }
        if let Mode::Delay(ms) = mode {
            sleep(Duration::from_millis(ms)).await;
        }
        if read == 0 || to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
