//! Small `Copy` identities.

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
            /// The identity of a name: the low half of its XXH3 hash. Commands
            /// refuse a new name whose identity is taken by another.
            #[must_use]
            pub fn of(name: &str) -> Self {
                #[expect(clippy::cast_possible_truncation, reason = "the low half is meant")]
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
    /// A pool of servers that can answer the same requests.
    PoolId
);
name_id!(
    /// A backend server.
    ServerId
);

/// One life of a process, drawn at random when it starts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A customer's `Idempotency-Key`, hashed together with the customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId(pub u64);

impl KeyId {
    /// The identity of a key of a customer.
    #[must_use]
    pub fn of(customer: CustomerId, key: &str) -> Self {
        let mut bytes = customer.0.to_le_bytes().to_vec();
        bytes.extend_from_slice(key.as_bytes());
        Self(xxh3_64(&bytes))
    }
}
