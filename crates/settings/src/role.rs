//! Roles of a process.

use std::fmt;
use std::str::FromStr;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A gateway.
    Gateway,
    /// A router.
    Router,
    /// A sidecar.
    Sidecar,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gateway => "gateway",
            Self::Router => "router",
            Self::Sidecar => "sidecar",
        })
    }
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "gateway" => Ok(Self::Gateway),
            "router" => Ok(Self::Router),
            "sidecar" => Ok(Self::Sidecar),
            _ => Err("expected gateway, router or sidecar".to_owned()),
        }
    }
}
