//! Authentication of operators.

use std::collections::HashMap;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use mulberryyoke_model::KeyHash;
use mulberryyoke_settings::Operator;

/// Authentication scheme in the authorization header.
const SCHEME: &str = "Bearer ";

/// Operators by the hash of their bearer key.
#[derive(Debug)]
pub(crate) struct Access {
    operators: HashMap<KeyHash, String>,
}

impl Access {
    pub(crate) fn new(operators: &[Operator]) -> Self {
        let operators = operators
            .iter()
            .map(|operator| (operator.key.clone(), operator.name.clone()))
            .collect();
        Self { operators }
    }

    /// Returns the operator whose bearer key the request carries.
    pub(crate) fn operator(&self, headers: &HeaderMap) -> Option<&str> {
        let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let key = value.strip_prefix(SCHEME)?;
        self.operators.get(&KeyHash::of(key)).map(String::as_str)
    }
}
