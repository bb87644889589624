//! A port whose connections are set up only once it is opened.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A port that is full: whoever connects waits, and has sent nothing yet.
#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    filler: TcpStream,
}

impl Gate {
    pub(crate) async fn bind() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        // One connection more than none is the fewest that a port holds.
        let filler = TcpStream::connect(address).await.unwrap();
        Self {
            address,
            listener,
            filler,
        }
    }

    /// Makes room and waits until the first connection after that is set up;
    /// passes it and all others on.
    pub(crate) async fn open(self, target: SocketAddr) {
        self.listener.accept().await.unwrap();
        drop(self.filler);
        let (first, _) = self.listener.accept().await.unwrap();
        tokio::spawn(pass(first, target));
        tokio::spawn(async move {
            loop {
                let (next, _) = self.listener.accept().await.unwrap();
                tokio::spawn(pass(next, target));
            }
        });
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr) -> std::io::Result<()> {
    let mut far = TcpStream::connect(target).await?;
    tokio::io::copy_bidirectional(&mut near, &mut far).await?;
    Ok(())
}
