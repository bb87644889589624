//! Control links: tarpc over TCP with a length-delimited binary codec.

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

/// Largest message on a control link, in bytes: a whole configuration fits.
const MAX_FRAME: usize = 16 << 20;

type Wire<I, O> = Transport<CountingStream<TcpStream>, I, O, Bincode<I, O>>;

/// Server side of a link to a sidecar.
pub type SidecarChannel = BaseChannel<
    SidecarRequest,
    SidecarResponse,
    Wire<ClientMessage<SidecarRequest>, Response<SidecarResponse>>,
>;

/// Server side of a link to a router.
pub type RouterChannel = BaseChannel<
    RouterRequest,
    RouterResponse,
    Wire<ClientMessage<RouterRequest>, Response<RouterResponse>>,
>;

fn wire<I, O>(stream: TcpStream, bytes: Arc<ByteCounter>) -> Wire<I, O>
where
    I: for<'de> Deserialize<'de>,
    O: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec();
    let framed = tokio_util::codec::Framed::new(CountingStream::new(stream, bytes), codec);
    serde_transport::new(framed, Bincode::default())
}

async fn dial(address: SocketAddr) -> Result<TcpStream, Error> {
    let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
    stream.set_nodelay(true).map_err(Error::Connect)?;
    Ok(stream)
}

/// Connects to a sidecar's control port.
///
/// # Errors
///
/// [`Error::Connect`] when nothing answers at `address`.
pub async fn connect_sidecar(
    address: SocketAddr,
    bytes: Arc<ByteCounter>,
) -> Result<SidecarClient, Error> {
    let stream = dial(address).await?;
    Ok(SidecarClient::new(Config::default(), wire(stream, bytes)).spawn())
}

/// Connects to a router's control port.
///
/// # Errors
///
/// [`Error::Connect`] when nothing answers at `address`.
pub async fn connect_router(
    address: SocketAddr,
    bytes: Arc<ByteCounter>,
) -> Result<RouterClient, Error> {
    let stream = dial(address).await?;
    Ok(RouterClient::new(Config::default(), wire(stream, bytes)).spawn())
}

/// A bound control port.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    bytes: Arc<ByteCounter>,
}

impl Listener {
    /// Binds a control port whose links count into `bytes`.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] when the address is taken or not ours.
    pub async fn bind(address: SocketAddr, bytes: Arc<ByteCounter>) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).await.map_err(Error::Bind)?;
        Ok(Self { listener, bytes })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] when the operating system does not tell it.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.listener.local_addr().map_err(Error::Bind)
    }

    /// Waits for the next link.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] when a link failed while it was set up; the port stays bound.
    pub async fn accept(&self) -> Result<(TcpStream, SocketAddr), Error> {
        let (stream, peer) = self.listener.accept().await.map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        Ok((stream, peer))
    }

    /// The counter of this port's links.
    #[must_use]
    pub fn bytes(&self) -> Arc<ByteCounter> {
        Arc::clone(&self.bytes)
    }
}

/// The calls of one accepted link to a sidecar, for `execute` and [`spawn_calls`].
pub fn sidecar_channel(stream: TcpStream, bytes: Arc<ByteCounter>) -> SidecarChannel {
    BaseChannel::with_defaults(wire(stream, bytes))
}

/// The calls of one accepted link to a router, for `execute` and [`spawn_calls`].
pub fn router_channel(stream: TcpStream, bytes: Arc<ByteCounter>) -> RouterChannel {
    BaseChannel::with_defaults(wire(stream, bytes))
}

/// Runs each call of a link in a task of its own until the link closes.
pub async fn spawn_calls<F>(calls: impl Stream<Item = F>)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut calls = std::pin::pin!(calls);
    while let Some(call) = calls.next().await {
        tokio::spawn(call);
    }
}
