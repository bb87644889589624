//! Who may give commands.

use std::collections::HashMap;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use mulberryyoke_model::KeyHash;
use mulberryyoke_settings::Operator;

/// Scheme of the bearer key in the header.
const SCHEME: &str = "Bearer ";

/// The operators by the hash of their key.
#[derive(Debug)]
pub(crate) struct Access {
    operators: HashMap<KeyHash, String>,
}

impl Access {
    /// Collects the operators of the settings.
    pub(crate) fn new(operators: &[Operator]) -> Self {
        let operators = operators
            .iter()
            .map(|operator| (operator.key.clone(), operator.name.clone()))
            .collect();
        Self { operators }
    }

    /// Name of the operator whose key a request carries.
    pub(crate) fn operator(&self, headers: &HeaderMap) -> Option<&str> {
        let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let key = value.strip_prefix(SCHEME)?;
        self.operators.get(&KeyHash::of(key)).map(String::as_str)
    }
}
