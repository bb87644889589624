//! `mulberryyoked sidecar`.

use mulberryyoke_event::{Event, log};
use mulberryyoke_settings as settings;
use mulberryyoked::sidecar::Sidecar;

use crate::args::Settings;
use crate::cmd::{block_on, form, signal};
use crate::error::Error;

/// Runs a sidecar until a planned stop has ended.
pub(crate) fn run(options: &Settings) -> Result<(), Error> {
    let settings = settings::read_sidecar(&options.settings).map_err(Error::Settings)?;
    let logger = mulberryyoke_event::open(form(settings.log), &settings.name);
    block_on(async move {
        let sidecar = Sidecar::spawn(settings, logger.clone())
            .await
            .map_err(Error::Sidecar)?;
        log!(logger, Event::Ready, "role" => "sidecar");
        signal::stop().await?;
        log!(logger, Event::Stopping, "role" => "sidecar");
        sidecar.stop().await;
        log!(logger, Event::Stopped, "role" => "sidecar");
        Ok(())
    })
}
