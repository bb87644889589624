//! Control calls to a server, past the gateways, which tell whether the stand-ins get processors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::Run;
use crate::backend::CONTROL_REQUEST;
use crate::fault_log::Scope;

/// Interval between two control calls.
const INTERVAL: Duration = Duration::from_millis(50);

/// Latency of a control call, which a server answers at once, from which the stand-ins count as
/// starved. A stream waits as long for each of its events.
const LIMIT: Duration = Duration::from_millis(150);

/// Longest latency that is waited for.
const MAX_LATENCY: Duration = Duration::from_secs(5);

impl Run {
    /// Records when the stand-ins are starved, until the run is finished.
    pub(super) async fn watch_stand_ins(self: Arc<Self>) {
        let address = self.servers[0].backend.address;
        while !self.is_finished() {
            // The pause may last longer as well.
            let begin = Instant::now();
            sleep(INTERVAL).await;
            // A server that does not answer in time is starved all the same.
            let _ = timeout(MAX_LATENCY, call(address)).await;
            let end = Instant::now();
            if end - begin >= INTERVAL + LIMIT {
                self.fault_log.record(Scope::StandIns, begin, end);
            }
        }
    }
}

async fn call(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(CONTROL_REQUEST).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(())
}
