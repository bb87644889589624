//! `mulberryyoked gateway`.

use std::sync::Arc;

use mulberryyoke_adapter::{Edge, Store};
use mulberryyoke_gateway::Gateway;
use mulberryyoke_settings as settings;
use tokio::runtime::Builder;

use crate::args;
use crate::cmd::signal;
use crate::error::Error;

/// Runs a gateway until a planned stop has ended. One thread carries it: the VMs
/// have one core, and a second thread only costs switches.
pub(crate) fn run(options: &args::Gateway) -> Result<(), Error> {
    let settings = settings::read_gateway(&options.settings).map_err(Error::Settings)?;
    let logger = mulberryyoke_event::open_output(&settings.name);
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(async move {
        let store = Arc::new(Store::open(settings.store));
        let gateway = Gateway::spawn(settings, Arc::new(Edge), store, logger)
            .await
            .map_err(Error::Gateway)?;
        signal::stop().await?;
        gateway.stop().await;
        Ok(())
    })
}
