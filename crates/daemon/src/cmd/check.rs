//! `mulberryyoked check`.

use mulberryyoke_settings as settings;

use crate::args::Check;
use crate::error::Error;

/// Validates a settings file without starting a role.
pub(crate) fn run(options: &Check) -> Result<(), Error> {
    let role = settings::check(&options.file, options.role).map_err(Error::Settings)?;
    println!(
        "{}: accepted as settings of a {role}",
        options.file.display()
    );
    Ok(())
}
