//! Command IDs in JSON: a string of 16 hexadecimal digits, because many JSON parsers lose
//! precision of 64-bit numbers. Numbers are accepted as well.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

#[derive(Deserialize)]
#[serde(untagged)]
enum EncodedId {
    Number(u64),
    Digits(String),
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
pub(crate) fn serialize<S: Serializer>(id: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{id:016x}"))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match EncodedId::deserialize(deserializer)? {
        EncodedId::Number(id) => Ok(id),
        EncodedId::Digits(digits) => u64::from_str_radix(&digits, 16).map_err(D::Error::custom),
    }
}

/// Optional command IDs.
pub(crate) mod option {
    use serde::{Deserialize, Deserializer, Serializer};

    #[derive(Deserialize)]
    struct Id(#[serde(with = "super")] u64);

    #[expect(clippy::ref_option, reason = "serde passes a reference")]
    pub(crate) fn serialize<S: Serializer>(
        id: &Option<u64>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match id {
            Some(id) => super::serialize(id, serializer),
            None => serializer.serialize_none(),
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<u64>, D::Error> {
        Ok(Option::<Id>::deserialize(deserializer)?.map(|Id(id)| id))
    }
}
