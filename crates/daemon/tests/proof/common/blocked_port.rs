//! A port that establishes no connection until it is unblocked.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A listening port whose accept queue is full: connection attempts stay pending,
/// so clients cannot send anything.
#[derive(Debug)]
pub(crate) struct BlockedPort {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    /// Fills the accept queue.
    filler: TcpStream,
}

impl BlockedPort {
    pub(crate) async fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        // An accept queue of length 0 still holds one connection.
        let filler = TcpStream::connect(address).await.unwrap();
        Self {
            address,
            listener,
            filler,
        }
    }

    /// Empties the accept queue, waits for the first connection, and forwards this
    /// and all later connections to `target`.
    pub(crate) async fn unblock(self, target: SocketAddr) {
        self.listener.accept().await.unwrap();
        drop(self.filler);
        let (client, _) = self.listener.accept().await.unwrap();
        tokio::spawn(forward(client, target));
        tokio::spawn(async move {
            loop {
                let (client, _) = self.listener.accept().await.unwrap();
                tokio::spawn(forward(client, target));
            }
        });
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr) -> std::io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    tokio::io::copy_bidirectional(&mut client, &mut server).await?;
    Ok(())
}
