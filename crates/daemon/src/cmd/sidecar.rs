//! `mulberryyoked sidecar`.

use mulberryyoke_settings as settings;
use mulberryyoked::sidecar::Sidecar;

use crate::args;
use crate::cmd::{block_on, form, signal};
use crate::error::Error;

/// Runs a sidecar until a planned stop has ended.
pub(crate) fn run(options: &args::Sidecar) -> Result<(), Error> {
    let settings = settings::read_sidecar(&options.settings).map_err(Error::Settings)?;
    let logger = mulberryyoke_event::open(form(settings.log), &settings.name);
    block_on(async move {
        let sidecar = Sidecar::spawn(settings, logger)
            .await
            .map_err(Error::Sidecar)?;
        signal::stop().await?;
        sidecar.stop().await;
        Ok(())
    })
}
