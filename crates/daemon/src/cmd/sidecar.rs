//! `mulberryyoked sidecar`.

use mulberryyoke_settings as settings;
use mulberryyoked::sidecar::Sidecar;

use crate::args;
use crate::cmd::{block_on, log_format, signal};
use crate::error::Error;

/// Runs a sidecar until a graceful shutdown is complete.
pub(crate) fn run(options: &args::Sidecar) -> Result<(), Error> {
    let settings = settings::read_sidecar(&options.settings).map_err(Error::Settings)?;
    let logger = mulberryyoke_event::open(log_format(settings.log), &settings.name);
    block_on(async move {
        let sidecar = Sidecar::spawn(settings, logger)
            .await
            .map_err(Error::Sidecar)?;
        signal::stop().await?;
        sidecar.stop().await;
        Ok(())
    })
}
