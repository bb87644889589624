//! A loopback proxy whose connections can be delayed, reset, cut one way or silenced.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What a link does with what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    Open,
    /// Everything comes so many milliseconds late.
    Slow(u64),
    /// Nothing comes, either way; what was sent comes when the link is open again.
    Silent,
    /// Requests go on, answers do not come.
    Half,
    /// Requests go on, and connections are closed when an answer comes.
    Cut,
    /// Connections are reset, new ones as well.
    Reset,
}

/// A running proxy.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    way: watch::Sender<Way>,
}

impl Link {
    /// Starts a proxy before an address.
    pub(crate) async fn spawn(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (way, ways) = watch::channel(Way::Open);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, to, ways.clone()));
            }
        });
        Self { address, way }
    }

    pub(crate) fn set(&self, way: Way) {
        self.way.send_replace(way);
    }
}

async fn carry(near: TcpStream, to: SocketAddr, mut ways: watch::Receiver<Way>) {
    // The proxy ends when the run does.
    let _ = ways.wait_for(|way| *way != Way::Silent).await;
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut resets = ways.clone();
    tokio::select! {
        () = copy(near_read, far_write, ways.clone(), false) => {}
        () = copy(far_read, near_write, ways, true) => {}
        _ = resets.wait_for(|way| *way == Way::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut ways: watch::Receiver<Way>,
    is_answer: bool,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let Ok(read) = from.read(&mut bytes).await else {
            return;
        };
        let held = |way: &Way| *way == Way::Silent || (is_answer && *way == Way::Half);
        if ways.wait_for(|way| !held(way)).await.is_err() {
            return;
        }
        let way = *ways.borrow();
        if is_answer && way == Way::Cut {
            return;
        }
        if let Way::Slow(ms) = way {
            sleep(Duration::from_millis(ms)).await;
        }
        if read == 0 || to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
