//! `mulberryyoke check`.

use gumdrop::Options;
use mulberryyoke_settings as settings;

use crate::args::Check;
use crate::error::Error;

/// Validates a settings file.
pub(crate) fn run(words: &[String]) -> Result<(), Error> {
    let check = Check::parse_args_default(words).map_err(|e| Error::Usage(e.to_string()))?;
    if check.help {
        let usage = check.self_usage();
        let text = format!("Usage: mulberryyoke check [OPTIONS] FILE\n\n{usage}");
        return Err(Error::Help(text));
    }
    let role = settings::check(&check.file, check.role).map_err(Error::Settings)?;
    println!("{}: accepted as settings of a {role}", check.file.display());
    Ok(())
}
