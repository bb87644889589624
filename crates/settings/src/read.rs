//! Reading of settings files.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::check::{self, InvalidField};
use crate::{Error, Gateway, Role, Router, Sidecar};

/// Field that distinguishes the settings of a router from those of a sidecar.
const ROUTER_FIELD: &str = "callers";

/// Field that only the settings of a gateway have.
const GATEWAY_FIELD: &str = "store";

/// Reads and validates the settings of a router.
///
/// # Errors
///
/// See [`Error`].
pub fn read_router(path: &Path) -> Result<Router, Error> {
    let router: Router = parse(path, &read(path)?)?;
    check::router(&router).map_err(|invalid| invalid_value(path, invalid))?;
    Ok(router)
}

/// Reads and validates the settings of a sidecar.
///
/// # Errors
///
/// See [`Error`].
pub fn read_sidecar(path: &Path) -> Result<Sidecar, Error> {
    let sidecar: Sidecar = parse(path, &read(path)?)?;
    check::sidecar(&sidecar).map_err(|invalid| invalid_value(path, invalid))?;
    Ok(sidecar)
}

/// Reads and validates the settings of a gateway.
///
/// # Errors
///
/// See [`Error`].
pub fn read_gateway(path: &Path) -> Result<Gateway, Error> {
    let gateway: Gateway = parse(path, &read(path)?)?;
    check::gateway(&gateway).map_err(|invalid| invalid_value(path, invalid))?;
    Ok(gateway)
}

/// Reads and validates a settings file and returns its role. Without `role`, the role is
/// detected from the fields of the file.
///
/// # Errors
///
/// See [`Error`].
pub fn check(path: &Path, role: Option<Role>) -> Result<Role, Error> {
    let role = match role {
        Some(role) => role,
        None => detect_role(path)?,
    };
    match role {
        Role::Gateway => drop(read_gateway(path)?),
        Role::Router => drop(read_router(path)?),
        Role::Sidecar => drop(read_sidecar(path)?),
    }
    Ok(role)
}

fn detect_role(path: &Path) -> Result<Role, Error> {
    let settings: Value = parse(path, &read(path)?)?;
    if settings.get(GATEWAY_FIELD).is_some() {
        return Ok(Role::Gateway);
    }
    match settings.get(ROUTER_FIELD) {
        Some(_) => Ok(Role::Router),
        None => Ok(Role::Sidecar),
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let settings =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| Error::Parse {
            path: path.to_owned(),
            field: error.path().to_string(),
            source: error.into_inner(),
        })?;
    deserializer.end().map_err(|source| Error::Parse {
        path: path.to_owned(),
        field: ".".to_owned(),
        source,
    })?;
    Ok(settings)
}

fn invalid_value(path: &Path, invalid: InvalidField) -> Error {
    Error::Value {
        path: path.to_owned(),
        field: invalid.field,
        reason: invalid.reason,
    }
}
