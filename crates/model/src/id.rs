//! Compact identifiers.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl $name {
            /// Derives the identifier from a name: the lower half of its XXH3 hash. Commands
            /// reject a new name whose identifier collides with that of another.
            #[must_use]
            pub fn of(name: &str) -> Self {
                #[expect(clippy::cast_possible_truncation, reason = "takes the lower half")]
                Self(xxh3_64(name.as_bytes()) as u32)
            }
        }
    };
}

name_id!(
    /// A customer.
    CustomerId
);
name_id!(
    /// A pool of servers.
    PoolId
);
name_id!(
    /// A backend server.
    ServerId
);
name_id!(
    /// A version of the software of backend servers. Versions have no order.
    VersionId
);

/// Identifier of a process instance, chosen at random at startup.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Hash of a customer and its `Idempotency-Key`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId(pub u64);

impl KeyId {
    /// Derives the identifier from a customer and its key.
    #[must_use]
    pub fn of(customer: CustomerId, key: &str) -> Self {
        let mut bytes = customer.0.to_le_bytes().to_vec();
        bytes.extend_from_slice(key.as_bytes());
        Self(xxh3_64(&bytes))
    }
}
