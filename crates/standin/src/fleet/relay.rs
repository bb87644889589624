//! A relay between two processes, whose links can be cut or held.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::BytesMut;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// A relay to one address.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Cancels the links; cancelled for as long as the relay is cut.
    links: Arc<Mutex<CancellationToken>>,
    flow: watch::Sender<Flow>,
    _stop: DropGuard,
}

/// What becomes of the bytes of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    /// They are passed on.
    Open,
    /// They are kept.
    Kept,
    /// None are read; those kept stay so.
    Stopped,
    /// None are read; those kept are passed on.
    Late,
}

impl Relay {
    /// Binds a relay to `target`.
    ///
    /// # Errors
    ///
    /// What the operating system says when no port can be bound.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let links = Arc::new(Mutex::new(CancellationToken::new()));
        let flow = watch::Sender::new(Flow::Open);
        let stop = CancellationToken::new();
        let accepting = accept(listener, target, Arc::clone(&links), flow.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self {
            address,
            links,
            flow,
            _stop: stop.drop_guard(),
        })
    }

    /// Cuts every link and refuses new ones.
    pub fn block(&self) {
        self.links.lock().cancel();
    }

    /// Lets new links through again.
    pub fn unblock(&self) {
        let mut links = self.links.lock();
        if links.is_cancelled() {
            *links = CancellationToken::new();
        }
    }

    /// Keeps what comes, either way, until released; the links stay open.
    pub fn buffer(&self) {
        self.flow.send_replace(Flow::Kept);
    }

    /// Reads no more of what comes.
    pub fn stop_reading(&self) {
        self.flow.send_replace(Flow::Stopped);
    }

    /// Passes on what came before the stop, and nothing after it.
    pub fn flush(&self) {
        self.flow.send_replace(Flow::Late);
    }

    /// Passes on what was kept and all that follows.
    pub fn resume(&self) {
        self.flow.send_replace(Flow::Open);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    links: Arc<Mutex<CancellationToken>>,
    flow: watch::Sender<Flow>,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let link = links.lock().clone();
        let passing = pass(near, target, flow.subscribe());
        tokio::spawn(link.run_until_cancelled_owned(passing));
    }
}

async fn pass(near: TcpStream, target: SocketAddr, flow: watch::Receiver<Flow>) -> io::Result<()> {
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, flow.clone());
    let back = copy(far_read, near_write, flow);
    tokio::try_join!(there, back)?;
    Ok(())
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut flow: watch::Receiver<Flow>,
) -> io::Result<()> {
    let mut kept = BytesMut::new();
    let mut is_ended = false;
    loop {
        let now = *flow.borrow_and_update();
        if matches!(now, Flow::Open | Flow::Late) {
            to.write_all_buf(&mut kept).await?;
        }
        if is_ended && now == Flow::Open {
            return to.shutdown().await;
        }
        let reads = !is_ended && matches!(now, Flow::Open | Flow::Kept);
        tokio::select! {
            read = from.read_buf(&mut kept), if reads => is_ended = read? == 0,
            // The sender lives as long as the relay.
            Ok(()) = flow.changed() => {}
        }
    }
}
