//! A relay between routers, whose links can be cut.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

/// A relay to one address.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    /// Cancels the links; cancelled for as long as the relay is cut.
    links: Arc<Mutex<CancellationToken>>,
    _stop: DropGuard,
}

impl Relay {
    /// Binds a relay to `target`.
    pub(crate) async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let links = Arc::new(Mutex::new(CancellationToken::new()));
        let stop = CancellationToken::new();
        let accepting = accept(listener, target, Arc::clone(&links));
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self {
            address,
            links,
            _stop: stop.drop_guard(),
        })
    }

    /// Cuts every link and refuses new ones.
    pub(crate) fn cut(&self) {
        self.links.lock().cancel();
    }

    /// Lets new links through again.
    pub(crate) fn mend(&self) {
        let mut links = self.links.lock();
        if links.is_cancelled() {
            *links = CancellationToken::new();
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, links: Arc<Mutex<CancellationToken>>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let link = links.lock().clone();
        tokio::spawn(link.run_until_cancelled_owned(pass(near, target)));
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr) -> io::Result<()> {
    let mut far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    copy_bidirectional(&mut near, &mut far).await?;
    Ok(())
}
