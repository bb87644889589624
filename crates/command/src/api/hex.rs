//! Identities of commands in JSON: 16 hexadecimal digits in a string, because
//! many programs cannot hold a number of 64 bits. A number is read as well.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

#[derive(Deserialize)]
#[serde(untagged)]
enum Form {
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
    match Form::deserialize(deserializer)? {
        Form::Number(id) => Ok(id),
        Form::Digits(digits) => u64::from_str_radix(&digits, 16).map_err(D::Error::custom),
    }
}

/// The same for an identity that may be absent.
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
