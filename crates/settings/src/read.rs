//! Reading settings files.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::check::{self, Fault};
use crate::{Error, Gateway, Role, Router, Sidecar};

/// Field that only a router's settings have.
const ROUTER_FIELD: &str = "callers";

/// Field that only a gateway's settings have.
const GATEWAY_FIELD: &str = "store";

/// Reads and checks a router's settings.
///
/// # Errors
///
/// See [`Error`].
pub fn read_router(path: &Path) -> Result<Router, Error> {
    let router: Router = parse(path, &read(path)?)?;
    check::router(&router).map_err(|fault| value(path, fault))?;
    Ok(router)
}

/// Reads and checks a sidecar's settings.
///
/// # Errors
///
/// See [`Error`].
pub fn read_sidecar(path: &Path) -> Result<Sidecar, Error> {
    let sidecar: Sidecar = parse(path, &read(path)?)?;
    check::sidecar(&sidecar).map_err(|fault| value(path, fault))?;
    Ok(sidecar)
}

/// Reads and checks a gateway's settings.
///
/// # Errors
///
/// See [`Error`].
pub fn read_gateway(path: &Path) -> Result<Gateway, Error> {
    let gateway: Gateway = parse(path, &read(path)?)?;
    check::gateway(&gateway).map_err(|fault| value(path, fault))?;
    Ok(gateway)
}

/// Reads and checks a settings file without starting anything. A file that does
/// not say its role is a router's if it says where callers connect.
///
/// # Errors
///
/// See [`Error`].
pub fn check(path: &Path, role: Option<Role>) -> Result<Role, Error> {
    let role = match role {
        Some(role) => role,
        None => detect(path)?,
    };
    match role {
        Role::Gateway => drop(read_gateway(path)?),
        Role::Router => drop(read_router(path)?),
        Role::Sidecar => drop(read_sidecar(path)?),
    }
    Ok(role)
}

fn detect(path: &Path) -> Result<Role, Error> {
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
    let mut input = serde_json::Deserializer::from_str(text);
    let parsed = serde_path_to_error::deserialize(&mut input).map_err(|error| Error::Parse {
        path: path.to_owned(),
        field: error.path().to_string(),
        source: error.into_inner(),
    })?;
    input.end().map_err(|source| Error::Parse {
        path: path.to_owned(),
        field: ".".to_owned(),
        source,
    })?;
    Ok(parsed)
}

fn value(path: &Path, fault: Fault) -> Error {
    Error::Value {
        path: path.to_owned(),
        field: fault.field,
        reason: fault.reason,
    }
}
