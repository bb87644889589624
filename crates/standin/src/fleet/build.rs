//! Locates and builds the daemon.

use std::env;
use std::path::PathBuf;

use tokio::process::Command;

use super::error::Error;

/// Returns the path of the daemon in the target directory of this program, after building it if
/// the program was started by Cargo.
pub(crate) async fn daemon() -> Result<PathBuf, Error> {
    let executable = env::current_exe().map_err(|error| Error::Build(error.to_string()))?;
    let target = executable
        .ancestors()
        .nth(2)
        .map(PathBuf::from)
        .unwrap_or_default();
    let daemon = target.join("mulberryyoked");
    let Some(cargo) = env::var_os("CARGO") else {
        return if daemon.exists() {
            Ok(daemon)
        } else {
            Err(Error::Build(format!("{} does not exist", daemon.display())))
        };
    };
    let mut build = Command::new(cargo);
    build.args([
        "build",
        "--locked",
        "--package",
        "mulberryyoked",
        "--bin",
        "mulberryyoked",
    ]);
    if target.ends_with("release") {
        build.arg("--release");
    }
    let status = build
        .status()
        .await
        .map_err(|error| Error::Build(error.to_string()))?;
    if status.success() {
        Ok(daemon)
    } else {
        Err(Error::Build(status.to_string()))
    }
}
