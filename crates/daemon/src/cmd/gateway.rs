//! `mulberryyoked gateway`.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use mulberryyoke_adapter::{Codec, StoreClient};
use mulberryyoke_event::slog::Logger;
use mulberryyoke_event::{Event, log};
use mulberryyoke_gateway::Gateway;
use mulberryyoke_settings as settings;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal as subscribe};
use tokio::time::interval;

use crate::args;
use crate::cmd::signal;
use crate::error::Error;

/// Polling interval of the settings file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two readings of the resident memory.
const MEMORY_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a gateway until a graceful shutdown is complete. Uses one thread, since entry
/// VMs have one core.
pub(crate) fn run(options: &args::Gateway) -> Result<(), Error> {
    let settings = settings::read_gateway(&options.settings).map_err(Error::Settings)?;
    let logger = mulberryyoke_event::open_stdout(&settings.name);
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(async move {
        let store = Arc::new(StoreClient::new(settings.store));
        let gateway = Gateway::spawn(settings, Arc::new(Codec), store, logger.clone())
            .await
            .map_err(Error::Gateway)?;
        tokio::select! {
            stopped = signal::stop() => stopped?,
            watched = watch(&gateway, &options.settings, &logger) => watched?,
            () = follow_memory(&gateway) => {}
        }
        gateway.stop().await;
        Ok(())
    })
}

/// Tells the gateway how much memory the process has.
async fn follow_memory(gateway: &Gateway) {
    let mut interval = interval(MEMORY_INTERVAL);
    loop {
        interval.tick().await;
        if let Some(bytes) = mulberryyoke_gateway::resident_bytes() {
            gateway.record_resident(bytes);
        }
    }
}

/// Reloads the settings on SIGHUP and when the file changes.
async fn watch(gateway: &Gateway, path: &Path, logger: &Logger) -> Result<(), Error> {
    let mut hangup = subscribe(SignalKind::hangup()).map_err(Error::Signal)?;
    let mut poll = interval(POLL_INTERVAL);
    let mut previous = std::fs::read(path).ok();
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            _ = poll.tick() => false,
        };
        let current = std::fs::read(path).ok();
        if !is_signalled && (current.is_none() || current == previous) {
            continue;
        }
        previous = current;
        match settings::read_gateway(path) {
            Ok(settings) => gateway.reload(settings),
            Err(error) => log!(logger, Event::ReloadFailed, "error" => error.to_string()),
        }
    }
}
