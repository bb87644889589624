//! Control connections: tarpc over TCP with length-delimited bincode frames.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use tarpc::client::Config;
use tarpc::serde_transport::{self, Transport};
use tarpc::server::BaseChannel;
use tarpc::{ClientMessage, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

use crate::router::{RouterRequest, RouterResponse};
use crate::sidecar::{SidecarRequest, SidecarResponse};
use crate::{ByteCounter, CountingStream, Error, RouterClient, SidecarClient};

/// Largest frame on a control connection; fits a complete configuration.
const MAX_FRAME_BYTES: usize = 16 << 20;

type FramedTransport<I, O> = Transport<CountingStream<TcpStream>, I, O, Bincode<I, O>>;

/// Server side of a connection to a sidecar.
pub type SidecarChannel = BaseChannel<
    SidecarRequest,
    SidecarResponse,
    FramedTransport<ClientMessage<SidecarRequest>, Response<SidecarResponse>>,
>;

/// Server side of a connection to a router.
pub type RouterChannel = BaseChannel<
    RouterRequest,
    RouterResponse,
    FramedTransport<ClientMessage<RouterRequest>, Response<RouterResponse>>,
>;

fn transport<I, O>(stream: TcpStream, bytes: Arc<ByteCounter>) -> FramedTransport<I, O>
where
    I: for<'de> Deserialize<'de>,
    O: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let frames = tokio_util::codec::Framed::new(CountingStream::new(stream, bytes), codec);
    serde_transport::new(frames, Bincode::default())
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
    stream.set_nodelay(true).map_err(Error::Connect)?;
    Ok(stream)
}

/// Connects to a sidecar's control port.
///
/// # Errors
///
/// [`Error::Connect`] if the TCP connection cannot be established.
pub async fn connect_sidecar(
    address: SocketAddr,
    bytes: Arc<ByteCounter>,
) -> Result<SidecarClient, Error> {
    let stream = connect(address).await?;
    Ok(SidecarClient::new(Config::default(), transport(stream, bytes)).spawn())
}

/// Connects to a router's control port.
///
/// # Errors
///
/// [`Error::Connect`] if the TCP connection cannot be established.
pub async fn connect_router(
    address: SocketAddr,
    bytes: Arc<ByteCounter>,
) -> Result<RouterClient, Error> {
    let stream = connect(address).await?;
    Ok(RouterClient::new(Config::default(), transport(stream, bytes)).spawn())
}

/// A bound control port.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    bytes: Arc<ByteCounter>,
}

impl Listener {
    /// Binds a control port; traffic is counted in `bytes`.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the address is in use or not local.
    pub async fn bind(address: SocketAddr, bytes: Arc<ByteCounter>) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).await.map_err(Error::Bind)?;
        Ok(Self { listener, bytes })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the operating system does not report it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.listener.local_addr().map_err(Error::Bind)
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if the connection fails during setup; the port stays bound.
    pub async fn accept(&self) -> Result<(TcpStream, SocketAddr), Error> {
        let (stream, peer) = self.listener.accept().await.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        Ok((stream, peer))
    }

    /// The byte counter for this port's connections.
    #[must_use]
    pub fn bytes(&self) -> Arc<ByteCounter> {
        Arc::clone(&self.bytes)
    }
}

/// Creates the server channel of an accepted sidecar connection, for `execute` and
/// [`spawn_calls`].
pub fn sidecar_channel(stream: TcpStream, bytes: Arc<ByteCounter>) -> SidecarChannel {
    BaseChannel::with_defaults(transport(stream, bytes))
}

/// Creates the server channel of an accepted router connection, for `execute` and
/// [`spawn_calls`].
pub fn router_channel(stream: TcpStream, bytes: Arc<ByteCounter>) -> RouterChannel {
    BaseChannel::with_defaults(transport(stream, bytes))
}

/// Spawns a task for each call on a connection until it closes.
pub async fn spawn_calls<F>(calls: impl Stream<Item = F>)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut calls = std::pin::pin!(calls);
    while let Some(call) = calls.next().await {
        tokio::spawn(call);
    }
}
