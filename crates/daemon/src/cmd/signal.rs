//! Signals that start a graceful shutdown.

use tokio::signal::unix::{SignalKind, signal};

use crate::error::Error;

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn stop() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
