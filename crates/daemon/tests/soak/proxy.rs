//! A loopback proxy with injectable network faults.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
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
    /// Loses all responses, also those after the mode changes on the connections of before.
    Silence,
    /// Closes all connections, including new ones. A proxy in front of a server resets them.
    Reset,
    /// Closes the connections of before, and rejects each request on new ones.
    Busy,
    /// Closes all connections and refuses new ones, as if no process listened.
    Refuse,
}

/// Bytes that are copied at a time. Each copy waits for a processor, which beside load takes several
/// milliseconds.
const COPY_BYTES: usize = 256 << 10;

/// Response to each request in the mode [`Mode::Busy`].
const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\n{}";

/// How connections end in the mode [`Mode::Reset`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
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
        Self::spawn_ending(upstream, Ending::Close).await
    }

    /// As [`Proxy::spawn`], in front of a server.
    pub(crate) async fn spawn_for_server(upstream: SocketAddr) -> Self {
        Self::spawn_ending(upstream, Ending::Reset).await
    }

    async fn spawn_ending(upstream: SocketAddr, ending: Ending) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let (mode, modes) = watch::channel(Mode::Forward);
        tokio::spawn(listen(listener, address, (upstream, ending), modes));
        Self { address, mode }
    }

    /// Starts a proxy that also forwards datagrams.
    pub(crate) async fn spawn_with_datagrams(upstream: SocketAddr) -> Self {
        let proxy = Self::spawn(upstream).await;
        let socket = UdpSocket::bind(proxy.address).await;
        let modes = proxy.mode.subscribe();
        let socket = socket.expect("the port is free for datagrams");
        tokio::spawn(forward_datagrams(socket, upstream, modes));
        proxy
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections, except in the mode [`Mode::Refuse`].
async fn listen(
    mut listener: TcpListener,
    address: SocketAddr,
    upstream: (SocketAddr, Ending),
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
async fn accept(
    listener: &TcpListener,
    upstream: (SocketAddr, Ending),
    mut modes: watch::Receiver<Mode>,
) {
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

/// Forwards datagrams in the mode [`Mode::Forward`] and loses them in others.
async fn forward_datagrams(socket: UdpSocket, to: SocketAddr, modes: watch::Receiver<Mode>) {
    let mut bytes = vec![0; 64 << 10];
    // An error means that the run has ended.
    while modes.has_changed().is_ok() {
        // The receiver of an earlier datagram may have exited, which is reported here.
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        if *modes.borrow() == Mode::Forward {
            let _ = socket.send_to(&bytes[..length], to).await;
        }
    }
}

/// Rejects the requests of a connection until the mode changes. Each is read at once.
async fn reject(mut downstream: TcpStream, mut modes: watch::Receiver<Mode>) {
    let mut bytes = vec![0; 16 << 10];
    let requests = async {
        while downstream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
            if downstream.write_all(BUSY_RESPONSE).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = requests => {}
        _ = modes.wait_for(|mode| *mode != Mode::Busy) => {}
    }
}

async fn forward(
    mut downstream: TcpStream,
    (upstream, ending): (SocketAddr, Ending),
    mut modes: watch::Receiver<Mode>,
) {
    // An error means that the run has ended.
    let _ = modes.wait_for(|mode| *mode != Mode::Stall).await;
    if *modes.borrow() == Mode::Busy {
        return reject(downstream, modes).await;
    }
    let Ok(mut upstream) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let (downstream_read, downstream_write) = downstream.split();
    let (upstream_read, upstream_write) = upstream.split();
    let mut resets = modes.clone();
    tokio::select! {
        () = copy(downstream_read, upstream_write, modes.clone(), false) => {}
        () = copy(upstream_read, downstream_write, modes, true) => {}
        _ = resets.wait_for(|mode| matches!(mode, Mode::Reset | Mode::Refuse | Mode::Busy)) => {}
    }
    if *resets.borrow() == Mode::Reset && ending == Ending::Reset {
        // Fails only if the connection is closed already.
        let _ = downstream.set_zero_linger();
    }
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut modes: watch::Receiver<Mode>,
    is_response: bool,
) {
    let mut bytes = vec![0; COPY_BYTES];
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
        if mode == Mode::Silence {
            // The connection stays open.
            return pending().await;
        }
        if let Mode::Delay(ms) = mode {
            sleep(Duration::from_millis(ms)).await;
        }
        if read == 0 || to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
