//! Deserialization of integers from numbers with a fraction, which templates of a platform may
//! produce.

use serde::{Deserialize, Deserializer, de};

/// Deserializes a non-negative number and truncates it.
pub(crate) fn truncated<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if !(0.0..=9e15).contains(&number) {
        return Err(de::Error::custom(format!(
            "{number} is out of range; must be from 0 to 9e15"
        )));
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is within the range of exact integers"
    )]
    let truncated = number as u64;
    Ok(truncated)
}

/// Like [`truncated`], for an optional setting.
pub(crate) fn optional_truncated<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    truncated(deserializer).map(Some)
}
