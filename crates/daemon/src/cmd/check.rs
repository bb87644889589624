//! `mulberryyoked check`.

use mulberryyoke_settings as settings;

use crate::args::Check;
use crate::error::Error;

/// Checks a settings file without starting.
pub(crate) fn run(options: &Check) -> Result<(), Error> {
    match options.role.as_str() {
        "router" => drop(settings::read_router(&options.file).map_err(Error::Settings)?),
        "sidecar" => drop(settings::read_sidecar(&options.file).map_err(Error::Settings)?),
        other => {
            let reason = format!("--role: {other}: allowed are router and sidecar");
            return Err(Error::Usage(reason));
        }
    }
    println!("{}: ok", options.file.display());
    Ok(())
}
