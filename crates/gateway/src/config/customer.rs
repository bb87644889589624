//! Customers.

use mulberryyoke_model::CustomerId;

/// A customer as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Its identity, a hash of the name.
    pub id: CustomerId,
    /// Its name.
    pub name: String,
    /// Bearer keys that name it.
    pub keys: Vec<String>,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}
