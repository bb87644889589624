//! Options of TCP connections.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without traffic after which a peer is probed, and between probes. A
/// machine without power gives no sign otherwise.
const PROBE: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 3;

/// Longest time that sent bytes may stay unacknowledged: as long as the probes take.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Sets what both sides of the router need: no delay of small writes, and an
/// error within seconds when the peer's machine is gone.
pub(crate) fn configure<'a>(socket: impl Into<SockRef<'a>>) -> io::Result<()> {
    let socket = socket.into();
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Whether a connection has what [`configure`] sets. Linux hands the options of a listening
/// socket on to the connections that it accepts, which saves six calls for each of them.
pub(crate) fn is_configured(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    let has_nodelay = socket.tcp_nodelay().unwrap_or(false);
    let has_keepalive = socket.keepalive().unwrap_or(false);
    let probe = socket.tcp_keepalive_time().ok();
    let unacknowledged = socket.tcp_user_timeout().ok().flatten();
    has_nodelay && has_keepalive && probe == Some(PROBE) && unacknowledged == Some(UNACKNOWLEDGED)
}
