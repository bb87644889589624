//! TCP socket options.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and between probes. They detect a peer whose VM
/// went down without closing its connections.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection fails.
const KEEPALIVE_RETRIES: u32 = 3;

/// Maximum time for sent data to remain unacknowledged: as long as the probes take.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Disables Nagle's algorithm and makes a connection fail within seconds when the peer is down.
pub(crate) fn configure<'a>(socket: impl Into<SockRef<'a>>) -> io::Result<()> {
    let socket = socket.into();
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Whether a connection has the options that [`configure`] sets. On Linux accepted connections
/// inherit them from the listening socket, which saves system calls.
pub(crate) fn is_configured(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    let has_nodelay = socket.tcp_nodelay().unwrap_or(false);
    let has_keepalive = socket.keepalive().unwrap_or(false);
    let keepalive_time = socket.tcp_keepalive_time().ok();
    let user_timeout = socket.tcp_user_timeout().ok().flatten();
    has_nodelay
        && has_keepalive
        && keepalive_time == Some(KEEPALIVE_INTERVAL)
        && user_timeout == Some(USER_TIMEOUT)
}
