//! `mulberryyoked router`.

use mulberryyoke_settings as settings;
use mulberryyoked::router::Router;

use crate::args;
use crate::cmd::{block_on, log_format, signal};
use crate::error::Error;

/// Runs a router until a graceful shutdown is complete.
pub(crate) fn run(options: &args::Router) -> Result<(), Error> {
    let settings = settings::read_router(&options.settings).map_err(Error::Settings)?;
    let logger = mulberryyoke_event::open(log_format(settings.log), &settings.name);
    block_on(async move {
        let router = Router::spawn(settings, logger)
            .await
            .map_err(Error::Router)?;
        signal::stop().await?;
        router.stop().await;
        Ok(())
    })
}
