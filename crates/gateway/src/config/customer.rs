//! Configured customers.

use mulberryyoke_model::CustomerId;

/// A configured customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Hash of the name.
    pub id: CustomerId,
    /// Configured name.
    pub name: String,
    /// Bearer keys.
    pub keys: Vec<String>,
    /// Priority that overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
}
