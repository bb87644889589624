//! Reading settings files.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::{Error, Router, Sidecar};

/// Reads and checks a router's settings.
///
/// # Errors
///
/// See [`Error`].
pub fn read_router(path: &Path) -> Result<Router, Error> {
    read(path)
}

/// Reads and checks a sidecar's settings.
///
/// # Errors
///
/// See [`Error`].
pub fn read_sidecar(path: &Path) -> Result<Sidecar, Error> {
    read(path)
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| Error::Parse {
        path: path.to_owned(),
        source,
    })
}
