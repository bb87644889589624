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
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
