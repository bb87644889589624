//! What a settings file is for.

use std::fmt;
use std::str::FromStr;

/// What a settings file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A router.
    Router,
    /// A sidecar.
    Sidecar,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Router => "router",
            Self::Sidecar => "sidecar",
        })
    }
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "router" => Ok(Self::Router),
            "sidecar" => Ok(Self::Sidecar),
            _ => Err("allowed are router and sidecar".to_owned()),
        }
    }
}
