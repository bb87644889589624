//! `mulberryyoked router`.

use mulberryyoke_event::{Event, log};
use mulberryyoke_settings as settings;
use mulberryyoked::router::Router;

use crate::args::Settings;
use crate::cmd::{block_on, form, signal};
use crate::error::Error;

/// Runs a router until a planned stop has ended.
pub(crate) fn run(options: &Settings) -> Result<(), Error> {
    let settings = settings::read_router(&options.settings).map_err(Error::Settings)?;
    let logger = mulberryyoke_event::open(form(settings.log), &settings.name);
    block_on(async move {
        let router = Router::spawn(settings, logger.clone())
            .await
            .map_err(Error::Router)?;
        log!(logger, Event::Ready, "role" => "router");
        signal::stop().await?;
        log!(logger, Event::Stopping, "role" => "router");
        router.stop().await;
        log!(logger, Event::Stopped, "role" => "router");
        Ok(())
    })
}
